#include "ibisdyke/membership/follower_table.h"

#include <map>
#include <string>

namespace ibisdyke::membership {

std::uint64_t follower_table::timestamp_of(core::time_point now) const
{
    // Starts at 1, because 0 means that a follower has not received a timestamp yet.
    return static_cast<std::uint64_t>(std::chrono::floor<core::milliseconds>(now - created_at_).count()) + 1;
}

bool follower_table::is_stale(const lease_batch& it, core::time_point now) const
{
    const auto timestamp = timestamp_of(now);
    return it.echoed_timestamp == 0 || it.echoed_timestamp > timestamp
        || timestamp - it.echoed_timestamp > static_cast<std::uint64_t>(limits_.max_batch_age.count());
}

void follower_table::drop_silent_followers(core::time_point now)
{
    std::erase_if(
        followers_, [&](const auto& entry) { return now - entry.second.last_batch_at >= limits_.list_retention; });
}

void follower_table::merge(follower& from, const lease_batch& it)
{
    if (it.base == 0)
        from.senders.clear();
    from.last_batch_number = it.number;
    for (const auto& removed : it.removed)
        from.senders.erase(removed);
    for (const auto& joined : it.full_heartbeats)
        from.senders.insert_or_assign(joined.sender, joined);
    for (const auto& status : it.changed) {
        const auto found = from.senders.find(status.sender);
        if (found == from.senders.end())
            continue;
        auto& last = found->second;
        last.sequence = status.sequence;
        last.applied = status.applied;
        last.open_flows = status.open_flows;
        last.flow_watermark = status.flow_watermark;
    }
}

void follower_table::renew_leases(
    const follower& from, const lease_batch& it, lease_table& leases, core::time_point now, lease_batch_answer& answer)
{
    std::unordered_map<core::incarnation, core::milliseconds> ages;
    for (const auto& stale : it.stale)
        ages.insert_or_assign(stale.sender, stale.age);
    std::map<std::string, double> means;
    for (const auto& [sender, last] : from.senders) {
        const auto age = ages.find(sender);
        const auto received_at = age == ages.end() ? now : now - age->second;
        const auto renewal = leases.on_reported_heartbeat(last, received_at, now);
        if (renewal.result != heartbeat_result::accepted)
            answer.refused.push_back({sender, renewal.result});
        else if (last.sender_role == process_role::agent)
            means.insert_or_assign(last.service, renewal.mean_open_flows);
    }
    for (const auto& [service, mean] : means)
        answer.means.push_back({service, mean});
}

lease_batch_answer follower_table::on_batch(const lease_batch& it, lease_table& leases, core::time_point now)
{
    drop_silent_followers(now);
    lease_batch_answer result;
    result.leader_timestamp = timestamp_of(now);
    if (is_stale(it, now)) {
        result.result = batch_result::stale;
        return result;
    }
    const auto found = followers_.find(it.follower);
    const auto last_number = found == followers_.end() ? 0 : found->second.last_batch_number;
    if (it.base > last_number || (found == followers_.end() && followers_.size() >= limits_.max_followers)) {
        result.result = batch_result::unknown_base;
        return result;
    }
    if (last_number >= it.number) {
        // Merging this batch would undo changes of a later batch that was merged already.
        result.result = batch_result::stale;
        return result;
    }
    auto& from = followers_[it.follower];
    merge(from, it);
    from.last_batch_at = now;
    if (from.senders.size() != it.sender_count) {
        followers_.erase(it.follower);
        result.result = batch_result::unknown_base;
        return result;
    }
    renew_leases(from, it, leases, now, result);
    return result;
}

} // namespace ibisdyke::membership
