#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace ibisdyke::measure {

/// Measures how unevenly flows are distributed over the upstreams of a service, as the largest flow count divided by
/// the mean flow count, averaged over samples.
class balance_meter {
public:
    /// Excludes an upstream from all further samples, because an event of the trace affects it.
    void exclude(const std::string& upstream) { excluded_.insert(upstream); }

    /// Adds the flow counts of a service's upstreams at the same time. Ignores samples with fewer than two upstreams,
    /// and samples with a low mean, in which random variation dominates.
    void add_sample(const std::string& service, const std::map<std::string, std::size_t>& open_flows);

    /// Returns the largest imbalance of any service, or nothing when there are no samples.
    std::optional<double> imbalance() const;

private:
    struct sum {
        double total = 0;
        std::size_t samples = 0;
    };

    std::set<std::string> excluded_;
    std::map<std::string, sum> sums_;
};

} // namespace ibisdyke::measure
