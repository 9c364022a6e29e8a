#include "measure/results/balance_meter.h"

#include <algorithm>

namespace ibisdyke::measure {

namespace {

// The imbalance goal applies from about this mean number of open flows per host.
constexpr double min_mean_flows = 40;

} // namespace

void balance_meter::add_sample(const std::string& service, const std::map<std::string, std::size_t>& open_flows)
{
    double total = 0;
    double largest = 0;
    double count = 0;
    for (const auto& [name, flows] : open_flows) {
        if (excluded_.contains(name))
            continue;
        total += static_cast<double>(flows);
        largest = std::max(largest, static_cast<double>(flows));
        count += 1;
    }
    if (count < 2 || total / count < min_mean_flows)
        return;
    auto& it = sums_[service];
    it.total += largest * count / total;
    ++it.samples;
}

std::optional<double> balance_meter::imbalance() const
{
    std::optional<double> worst;
    for (const auto& [service, it] : sums_)
        worst = std::max(worst.value_or(0), it.total / static_cast<double>(it.samples));
    return worst;
}

} // namespace ibisdyke::measure
