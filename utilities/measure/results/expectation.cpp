#include "measure/results/expectation.h"

#include "ibisdyke/core/error.h"
#include "measure/trace/json_fields.h"

#include <algorithm>
#include <cmath>

namespace ibisdyke::measure {

namespace {

constexpr double unlimited = 1e18;
constexpr double decimals = 1000;

std::string to_text(double it)
{
    return QString::number(it, 'g', 8).toStdString();
}

} // namespace

const std::vector<std::string>& result_fields()
{
    static const std::vector<std::string> fields{"flows", "broken_flows", "given_up_flows", "refused_flows",
        "misrouted_packets", "misdirected_packets", "requests", "answered", "lost_requests", "interrupted_requests",
        "doubled_requests", "false_not_run", "mixed_answers", "told_not_run", "told_may_have_run", "request_p99_ms",
        "imbalance", "service_ratio", "longest_gap_ms", "cold_overload", "domain_last_packet_ms", "drain_last_new_ms",
        "config_accepted", "config_conflicts", "config_failed", "config_p99_ms", "config_reverts",
        "control_bytes_per_s", "control_cpu_percent", "rss_mb"};
    return fields;
}

expectations parse_expectations(const QJsonObject& document)
{
    expectations result;
    for (const auto& key : document.keys()) {
        const auto name = key.toStdString();
        const auto& known = result_fields();
        if (std::find(known.begin(), known.end(), name) == known.end())
            throw core::invalid_input("expect", name, "the name of a result field");
        json_fields fields(document.value(key).toObject());
        bound it;
        if (fields.contains("min"))
            it.min = fields.number("min", 0, -unlimited, unlimited);
        if (fields.contains("max"))
            it.max = fields.number("max", 0, -unlimited, unlimited);
        fields.reject_unknown();
        if (!it.min && !it.max)
            throw core::invalid_input("expect." + name, "", R"("min" or "max")");
        result.emplace(name, it);
    }
    return result;
}

std::vector<std::string> find_misses(const expectations& expected, const results& measured)
{
    std::vector<std::string> misses;
    for (const auto& [name, range] : expected) {
        const auto found = measured.find(name);
        if (found == measured.end()) {
            misses.push_back(name + " was not measured");
            continue;
        }
        if (range.min && found->second < *range.min)
            misses.push_back(name + " is " + to_text(found->second) + ", expected at least " + to_text(*range.min));
        if (range.max && found->second > *range.max)
            misses.push_back(name + " is " + to_text(found->second) + ", expected at most " + to_text(*range.max));
    }
    return misses;
}

QJsonObject to_json(const results& measured)
{
    QJsonObject result;
    for (const auto& [name, value] : measured)
        result.insert(QString::fromStdString(name), std::round(value * decimals) / decimals);
    return result;
}

QJsonObject to_json(const expectations& expected)
{
    QJsonObject result;
    for (const auto& [name, range] : expected) {
        QJsonObject it;
        if (range.min)
            it.insert("min", *range.min);
        if (range.max)
            it.insert("max", *range.max);
        result.insert(QString::fromStdString(name), it);
    }
    return result;
}

} // namespace ibisdyke::measure
