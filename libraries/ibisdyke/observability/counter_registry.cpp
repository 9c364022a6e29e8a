#include "ibisdyke/observability/counter_registry.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <boost/histogram.hpp>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <tuple>
#include <utility>
#include <vector>

namespace ibisdyke::observability {

namespace detail {

namespace statistics = boost::accumulators;

class distribution {
public:
    void add(double value)
    {
        samples_(value);
        histogram_(value);
        sum_ += value;
    }

    prometheus::ClientMetric to_metric() const
    {
        prometheus::ClientMetric result;
        auto& out = result.histogram;
        out.sample_count = statistics::count(samples_);
        out.sample_sum = sum_;
        // The counts of Prometheus buckets are cumulative.
        std::uint64_t cumulative_count = 0;
        for (const auto& bin : boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
            cumulative_count += static_cast<std::uint64_t>(*bin);
            out.bucket.push_back({cumulative_count, bin.bin().upper()});
        }
        return result;
    }

    QJsonObject to_json() const
    {
        return {
            {"count", static_cast<qint64>(statistics::count(samples_))},
            {"mean", statistics::mean(samples_)},
            {"p50", statistics::quantile(samples_, statistics::quantile_probability = median_probability)},
            {"p99", statistics::quantile(samples_, statistics::quantile_probability = tail_probability)},
            {"max", statistics::max(samples_)},
        };
    }

private:
    static constexpr double median_probability = 0.5;
    static constexpr double tail_probability = 0.99;
    static constexpr std::array probabilities{0.25, median_probability, 0.9, tail_probability, 0.999};

    statistics::accumulator_set<double,
        statistics::stats<statistics::tag::count, statistics::tag::mean, statistics::tag::max,
            statistics::tag::extended_p_square_quantile>>
        samples_{statistics::extended_p_square_probabilities = probabilities};

    using axis = boost::histogram::axis::variable<double>;

    /// Upper bounds of the buckets, made for durations in milliseconds.
    boost::histogram::histogram<std::tuple<axis>> histogram_ =
        boost::histogram::make_histogram(axis{0.5, 1., 2., 5., 10., 20., 50., 100., 200., 500., 1000., 2000., 5000.});
    double sum_ = 0;
};

} // namespace detail

counter_registry::counter_registry() = default;
counter_registry::~counter_registry() = default;

void counter_registry::add(std::string_view name, std::uint64_t n)
{
    find(name).add(n);
}

void counter_registry::sample(std::string_view name, double value)
{
    const std::scoped_lock lock(mutex_);
    auto it = distributions_.find(name);
    if (it == distributions_.end())
        it = distributions_.emplace(std::string(name), std::make_unique<detail::distribution>()).first;
    it->second->add(value);
}

counter& counter_registry::find(std::string_view name)
{
    const std::scoped_lock lock(mutex_);
    auto it = counters_.find(name);
    if (it == counters_.end())
        it = counters_.emplace(std::string(name), std::make_unique<counter>()).first;
    return *it->second;
}

void counter_registry::add_gauge(std::string_view name, std::function<double()> read)
{
    const std::scoped_lock lock(mutex_);
    gauges_.insert_or_assign(std::string(name), std::move(read));
}

std::string counter_registry::to_text() const
{
    std::vector<prometheus::MetricFamily> families;
    const auto add = [&families](const std::string& name, prometheus::MetricType type, prometheus::ClientMetric it) {
        families.push_back({"ibisdyke_" + name, "", type, {std::move(it)}});
    };
    {
        const std::scoped_lock lock(mutex_);
        for (const auto& [name, it] : counters_) {
            prometheus::ClientMetric metric;
            metric.counter.value = static_cast<double>(it->value());
            add(name, prometheus::MetricType::Counter, std::move(metric));
        }
        for (const auto& [name, read] : gauges_) {
            prometheus::ClientMetric metric;
            metric.gauge.value = read();
            add(name, prometheus::MetricType::Gauge, std::move(metric));
        }
        for (const auto& [name, it] : distributions_)
            add(name, prometheus::MetricType::Histogram, it->to_metric());
    }
    return prometheus::TextSerializer().Serialize(families);
}

QJsonObject counter_registry::to_json() const
{
    const std::scoped_lock lock(mutex_);
    QJsonObject counters;
    for (const auto& [name, it] : counters_)
        counters.insert(QString::fromStdString(name), static_cast<qint64>(it->value()));
    QJsonObject distributions;
    for (const auto& [name, it] : distributions_)
        distributions.insert(QString::fromStdString(name), it->to_json());
    return {{"counters", counters}, {"distributions", distributions}};
}

} // namespace ibisdyke::observability
