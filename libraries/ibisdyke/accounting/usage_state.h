#pragma once

#include "ibisdyke/accounting/usage.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace ibisdyke::accounting {

/// The limits of the usage state. All control processes must use the same limits, because the state after a log entry
/// depends on them.
struct usage_limits {
    /// The number of hours for which usage may be reported after its hour. Agents report an hour for 24 hours after it,
    /// and two more hours allow for differences between clocks.
    std::uint64_t late_hours = 26;
    /// The maximum number of open counters, those of incarnations that may still report. The design size has 12,800
    /// incarnations in 26 hours.
    std::size_t max_open = 131'072;
    /// The maximum number of folded sums, about 150 bytes each. 1,200 services need 31,200 sums for 26 hours, 36,000
    /// for 30 days and 1,200 for each further 30 days.
    std::size_t max_folded = 131'072;

    friend bool operator==(const usage_limits&, const usage_limits&) = default;
};

/// Orders keys by hour first, so that the oldest usage comes first.
struct by_hour {
    bool operator()(const usage_key& left, const usage_key& right) const
    {
        return left.hour != right.hour ? left.hour < right.hour : left < right;
    }
};

/// The open usage of one incarnation.
struct source_usage {
    /// The latest hour that the incarnation has reported. Its counters of earlier hours are final and folded.
    std::uint64_t hour = 0;
    /// The counters of this hour, which later reports may still increase.
    std::map<usage_key, usage_counters> open;

    friend bool operator==(const source_usage&, const source_usage&) = default;
};

/// All recorded usage. A counter of an incarnation is either open, in `sources`, or folded, which means added to the
/// sums in `folded`. Reports of open counters are merged by maximum and reports of folded counters are ignored, so no
/// usage is counted twice.
struct usage_state {
    std::map<core::incarnation, source_usage> sources;
    /// The number of counters in all `open` maps.
    std::size_t open_entries = 0;
    /// The sums over all incarnations of the counters that are final.
    std::map<usage_key, usage_counters, by_hour> folded;
    /// Reports of hours before this one are ignored for all incarnations.
    std::uint64_t closed_before = 0;
    /// Sums of hours before this one are kept by day, under hours divisible by 24. A multiple of 24.
    std::uint64_t daily_before = 0;
    /// Sums of hours before this one are kept by 30 days, under hours divisible by 720. A multiple of 720.
    std::uint64_t monthly_before = 0;
    /// The number of reports that were refused because the open counters of current hours reached the limit. Their
    /// agents report the usage again.
    std::uint64_t refused_reports = 0;
    /// The number of sums that were dropped because `folded` had reached its limit.
    std::uint64_t dropped_sums = 0;

    friend bool operator==(const usage_state&, const usage_state&) = default;
};

/// Returns the state after merging a batch. Takes the state by value, so that a caller which moves its state avoids a
/// copy of the entries that do not change.
usage_state merge(usage_state state, const usage_batch& batch, const usage_limits& limits = {});

/// Returns the state after adding the counters of one incarnation from a saved state, without applying the limits.
usage_state merge_saved_source(usage_state state, const usage_report& saved);

/// Returns the entries of a report that would change the state.
usage_report unrecorded(const usage_state& state, const usage_report& report);

/// Returns the sums over all incarnations.
std::map<usage_key, usage_counters> totals(const usage_state& state);

/// Returns the number of hours that are summed together with `hour`: 1, 24 or 720.
std::uint64_t span_hours(const usage_state& state, std::uint64_t hour);

} // namespace ibisdyke::accounting
