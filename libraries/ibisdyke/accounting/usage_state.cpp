#include "ibisdyke/accounting/usage_state.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace ibisdyke::accounting {

namespace {

constexpr std::uint64_t day_hours = 24;
constexpr std::uint64_t month_hours = 720;

/// Returns the key of the folded sum that includes `key`.
usage_key folded_key(const usage_state& state, const usage_key& key)
{
    auto result = key;
    result.hour -= key.hour % span_hours(state, key.hour);
    return result;
}

/// Adds counters to the folded sums.
void fold(usage_state& state, const usage_key& key, const usage_counters& counters)
{
    auto& total = state.folded[folded_key(state, key)];
    total = sum(total, counters);
}

/// Folds all open counters of a source.
void fold_open(usage_state& state, source_usage& source)
{
    for (const auto& [key, counters] : source.open)
        fold(state, key, counters);
    state.open_entries -= source.open.size();
    source.open.clear();
}

/// Closes the hours before `limit`: later reports of them are ignored, and sources whose latest hour is closed are
/// folded and removed.
void close_hours(usage_state& state, std::uint64_t limit)
{
    if (limit <= state.closed_before)
        return;
    state.closed_before = limit;
    for (auto it = state.sources.begin(); it != state.sources.end();) {
        if (it->second.hour >= limit) {
            ++it;
            continue;
        }
        fold_open(state, it->second);
        it = state.sources.erase(it);
    }
}

/// Closes the oldest hours until `added` more open counters are within the limit. The current and the previous hour
/// stay open, because live agents report them.
void close_oldest_hours(usage_state& state, std::size_t added, std::uint64_t current_hour, const usage_limits& limits)
{
    while (state.open_entries + added > limits.max_open && !state.sources.empty()) {
        const auto oldest =
            std::min_element(state.sources.begin(), state.sources.end(), [](const auto& left, const auto& right) {
                return left.second.hour < right.second.hour;
            })->second.hour;
        if (oldest + 1 >= current_hour)
            return;
        close_hours(state, oldest + 1);
    }
}

void merge_open(usage_state& state, source_usage& source, const usage_key& key, const usage_counters& counters)
{
    const auto [it, created] = source.open.try_emplace(key, counters);
    if (created)
        ++state.open_entries;
    else
        it->second = maximum(it->second, counters);
}

std::uint64_t latest_hour(const usage_report& report)
{
    std::uint64_t result = 0;
    for (const auto& [key, counters] : report.usage)
        result = std::max(result, key.hour);
    return result;
}

void merge_report(usage_state& state, const usage_report& reported, const usage_limits& limits)
{
    const auto report = unrecorded(state, reported);
    if (report.usage.empty())
        return;
    if (state.open_entries + report.usage.size() > limits.max_open) {
        ++state.refused_reports;
        return;
    }
    const auto latest = latest_hour(report);
    auto& source = state.sources.try_emplace(report.source, source_usage{latest, {}}).first->second;
    // Merges the counters of the hour that is open so far. They are complete if the report also has a later hour.
    for (const auto& [key, counters] : report.usage) {
        if (key.hour == source.hour)
            merge_open(state, source, key, counters);
    }
    if (latest == source.hour) {
        for (const auto& [key, counters] : report.usage) {
            if (key.hour < latest)
                fold(state, key, counters);
        }
        return;
    }
    fold_open(state, source);
    for (const auto& [key, counters] : report.usage) {
        if (key.hour == latest)
            merge_open(state, source, key, counters);
        else if (key.hour > source.hour)
            fold(state, key, counters);
    }
    source.hour = latest;
}

/// Folds the sums of the hours in [`from`, `to`) again by the span that now applies to them.
void refold(usage_state& state, std::uint64_t from, std::uint64_t to)
{
    const auto first = state.folded.lower_bound(usage_key{core::neighbour(), {}, from});
    const auto last = state.folded.lower_bound(usage_key{core::neighbour(), {}, to});
    const std::vector<std::pair<usage_key, usage_counters>> moved(first, last);
    state.folded.erase(first, last);
    for (const auto& [key, counters] : moved)
        fold(state, key, counters);
}

/// Returns the end of the block of `span` hours that contains the first folded sum at or after `from`, or 0 if there is
/// no such sum.
std::uint64_t first_block_end(const usage_state& state, std::uint64_t from, std::uint64_t span)
{
    const auto first = state.folded.lower_bound(usage_key{core::neighbour(), {}, from});
    return first == state.folded.end() ? 0 : (first->first.hour / span + 1) * span;
}

/// Reduces the folded sums to their limit: sums hours by day, then days by 30 days, then drops the oldest sum.
void shrink_folded(usage_state& state, std::uint64_t current_hour, const usage_limits& limits)
{
    while (state.folded.size() > limits.max_folded) {
        const auto day_end = first_block_end(state, state.daily_before, day_hours);
        const auto month_end = first_block_end(state, state.monthly_before, month_hours);
        if (day_end != 0 && day_end <= current_hour) {
            const auto from = std::exchange(state.daily_before, day_end);
            refold(state, from, day_end);
        } else if (month_end != 0 && month_end <= state.daily_before) {
            const auto from = std::exchange(state.monthly_before, month_end);
            refold(state, from, month_end);
        } else {
            state.folded.erase(state.folded.begin());
            ++state.dropped_sums;
        }
    }
}

bool is_recorded(const usage_counters& recorded, const usage_counters& counters)
{
    return maximum(recorded, counters) == recorded;
}

} // namespace

std::uint64_t span_hours(const usage_state& state, std::uint64_t hour)
{
    if (hour < state.monthly_before)
        return month_hours;
    return hour < state.daily_before ? day_hours : 1;
}

usage_report unrecorded(const usage_state& state, const usage_report& report)
{
    const auto source = state.sources.find(report.source);
    usage_report result{report.source, {}};
    for (const auto& [key, counters] : report.usage) {
        if (key.hour < state.closed_before)
            continue;
        if (source != state.sources.end()) {
            if (key.hour < source->second.hour)
                continue;
            const auto known = source->second.open.find(key);
            if (known != source->second.open.end() && is_recorded(known->second, counters))
                continue;
        }
        result.usage.emplace(key, counters);
    }
    return result;
}

usage_state merge(usage_state state, const usage_batch& batch, const usage_limits& limits)
{
    if (batch.hour > limits.late_hours)
        close_hours(state, batch.hour - limits.late_hours);
    std::size_t added = 0;
    for (const auto& it : batch.reports)
        added += it.usage.size();
    close_oldest_hours(state, added, batch.hour, limits);
    for (const auto& it : batch.reports)
        merge_report(state, it, limits);
    shrink_folded(state, batch.hour, limits);
    return state;
}

usage_state merge_saved_source(usage_state state, const usage_report& saved)
{
    usage_limits unlimited;
    unlimited.max_open = std::numeric_limits<std::size_t>::max();
    merge_report(state, saved, unlimited);
    return state;
}

std::map<usage_key, usage_counters> totals(const usage_state& state)
{
    std::map<usage_key, usage_counters> result(state.folded.begin(), state.folded.end());
    for (const auto& [incarnation, source] : state.sources) {
        for (const auto& [key, counters] : source.open) {
            auto& total = result[folded_key(state, key)];
            total = sum(total, counters);
        }
    }
    return result;
}

} // namespace ibisdyke::accounting
