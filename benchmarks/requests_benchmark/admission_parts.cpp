#include "parts.h"
#include "simulated_agent.h"

#include "ibisdyke/admission/fifo_admission.h"
#include "ibisdyke/admission/share_admission.h"

#include <cmath>
#include <string>

namespace ibisdyke::benchmarks {

namespace {

/// Returns the rate of answers within the deadline as a share of the capacity.
double measure_goodput(std::unique_ptr<admission::admission_policy> policy, double load)
{
    constexpr double run_seconds = 120;
    constexpr auto deadline = 500ms;
    timeline time;
    std::mt19937 random(1);
    simulated_agent agent(time, std::move(policy), random);
    std::uint64_t good = 0;
    send_poisson(time, random, load * capacity_per_second, [&] {
        const auto limit = time.now() + deadline;
        agent.offer(core::neighbour("a"), limit, [&, limit](bool answered) {
            if (answered && time.now() <= limit)
                ++good;
        });
    });
    time.run_until(time.now() + to_duration(run_seconds));
    return static_cast<double>(good) / run_seconds / capacity_per_second;
}

QJsonObject goodput_of(const std::function<std::unique_ptr<admission::admission_policy>()>& create)
{
    QJsonObject result;
    for (const double load : {0.5, 1.0, 2.0, 5.0})
        result.insert(QString::number(load), measure_goodput(create(), load));
    result.insert("ratio_5_to_1", result["5"].toDouble() / result["1"].toDouble());
    return result;
}

/// Returns the largest relative difference between a neighbour's share of the slot time and its share of the weights.
double measure_share_error(std::unique_ptr<admission::admission_policy> policy,
    const std::map<std::string, std::uint32_t>& weights, double load_of_each)
{
    timeline time;
    std::mt19937 random(2);
    simulated_agent agent(time, std::move(policy), random);
    double all_weights = 0;
    for (const auto& [name, weight] : weights) {
        all_weights += weight;
        const core::neighbour neighbour(name);
        send_poisson(time, random, load_of_each * capacity_per_second,
            [&agent, &time, neighbour] { agent.offer(neighbour, time.now() + 500ms, [](bool) {}); });
    }
    time.run_until(time.now() + 120s);
    double worst = 0;
    for (const auto& [name, weight] : weights) {
        const auto expected = weight / all_weights;
        const auto part = agent.slot_seconds_of(core::neighbour(name)) / agent.slot_seconds();
        worst = std::max(worst, std::abs(part / expected - 1));
    }
    return worst;
}

} // namespace

QJsonObject measure_goodputs()
{
    return {
        {"share_admission", goodput_of([] { return admission::share_admission::create(create_rules()); })},
        {"fifo_10", goodput_of([] { return admission::fifo_admission::create(slots, 10); })},
        {"fifo_1000", goodput_of([] { return admission::fifo_admission::create(slots, 1000); })},
    };
}

QJsonObject measure_shares()
{
    const std::map<std::string, std::uint32_t> weights{{"a", 5}, {"b", 2}, {"c", 1}};
    auto rules = create_rules();
    for (const auto& [name, weight] : weights)
        rules.neighbours.emplace(core::neighbour(name), admission::neighbour_policy{weight, 0, 0});
    QJsonObject result;
    for (const double load : {1.0, 2.0, 5.0}) {
        result.insert("share_admission_load_" + QString::number(load),
            measure_share_error(admission::share_admission::create(rules), weights, load));
    }
    result.insert("fifo_10_load_2", measure_share_error(admission::fifo_admission::create(slots, 10), weights, 2));
    return result;
}

} // namespace ibisdyke::benchmarks
