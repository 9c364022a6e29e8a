#pragma once

#include "ibisdyke/accounting/usage.h"
#include "ibisdyke/core/time.h"

namespace ibisdyke::accounting {

/// Returns the hour since the Unix epoch in which `now` lies.
std::uint64_t hour_of(core::wall_time now);

/// Counts the usage at one agent. Counters never decrease while their key is reported, so reports may be lost, resent
/// or reordered. Not thread-safe.
class usage_counter {
public:
    /// The number of hours for which a key is reported after its hour. Usage is lost only if the agent cannot reach the
    /// control group during all of this time.
    static constexpr std::uint64_t reported_hours = 24;

    explicit usage_counter(const core::incarnation& source)
        : source_(source)
    {
    }

    /// Adds `used` to the usage of the service by the neighbour in the current hour. If the clock was set back, the
    /// usage is added to the latest hour seen so far, because a report of an hour makes all earlier hours final.
    void add(
        const core::neighbour& neighbour, const std::string& service, const usage_counters& used, core::wall_time now);

    /// Returns the counters of all keys that are still reported.
    usage_report report() const { return {source_, usage_}; }

    /// The number of changes so far. A sender compares it to find out whether there is new usage to report.
    std::uint64_t changes() const { return changes_; }

private:
    /// Removes the keys that are no longer reported.
    void prune(std::uint64_t current_hour);

    core::incarnation source_;
    std::map<usage_key, usage_counters> usage_;
    std::uint64_t latest_hour_ = 0;
    std::uint64_t changes_ = 0;
};

} // namespace ibisdyke::accounting
