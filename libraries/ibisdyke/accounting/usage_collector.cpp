#include "ibisdyke/accounting/usage_collector.h"

#include "ibisdyke/accounting/usage_counter.h"

#include <utility>

namespace ibisdyke::accounting {

bool usage_collector::add_report(const usage_report& report, const usage_state& recorded)
{
    if (report.usage.size() > limits_.max_report_entries)
        return false;
    const auto new_usage = unrecorded(recorded, report);
    if (waiting_entries_ + new_usage.usage.size() > limits_.max_waiting_entries)
        return false;
    add_waiting(new_usage);
    return true;
}

void usage_collector::add_waiting(const usage_report& report)
{
    if (report.usage.empty())
        return;
    auto& waiting = waiting_[report.source];
    waiting.source = report.source;
    waiting_entries_ -= waiting.usage.size();
    for (const auto& [key, counters] : report.usage) {
        auto& it = waiting.usage[key];
        it = maximum(it, counters);
    }
    waiting_entries_ += waiting.usage.size();
}

std::optional<usage_batch> usage_collector::take_batch(
    const usage_state& recorded, core::time_point now, core::wall_time wall_now)
{
    if (in_progress_ || waiting_.empty() || now - last_taken_ < limits_.period)
        return std::nullopt;
    last_taken_ = now;
    usage_batch batch{hour_of(wall_now), {}};
    std::size_t entries = 0;
    while (!waiting_.empty()) {
        auto it = waiting_.lower_bound(next_source_);
        if (it == waiting_.end())
            it = waiting_.begin();
        // A batch that was in progress when the report arrived may have been committed since.
        auto new_usage = unrecorded(recorded, it->second);
        next_source_ = it->first;
        if (entries > 0 && entries + new_usage.usage.size() > limits_.max_batch_entries)
            break;
        entries += new_usage.usage.size();
        waiting_entries_ -= it->second.usage.size();
        waiting_.erase(it);
        if (!new_usage.usage.empty())
            batch.reports.push_back(std::move(new_usage));
    }
    if (batch.reports.empty())
        return std::nullopt;
    in_progress_ = batch;
    return batch;
}

void usage_collector::finish_batch(bool committed)
{
    const auto batch = std::exchange(in_progress_, std::nullopt);
    if (committed || !batch)
        return;
    for (const auto& it : batch->reports)
        add_waiting(it);
}

} // namespace ibisdyke::accounting
