#include "ibisdyke/membership/follower_table.h"

#include <map>
#include <string>

namespace ibisdyke::membership {

std::uint64_t follower_table::timestamp_of(core::time_point now) const
{
    // 0 means that a follower has no stamp.
    return static_cast<std::uint64_t>(std::chrono::floor<core::milliseconds>(now - created_).count()) + 1;
}

bool follower_table::is_late(const lease_batch& it, core::time_point now) const
{
    const auto present = timestamp_of(now);
    return it.echoed_timestamp == 0 || it.echoed_timestamp > present
        || present - it.echoed_timestamp > static_cast<std::uint64_t>(limits_.max_batch_age.count());
}

void follower_table::drop_lost(core::time_point now)
{
    std::erase_if(followers_, [&](const auto& entry) { return now - entry.second.heard >= limits_.memory; });
}

void follower_table::merge(follower& known, const lease_batch& it)
{
    if (it.base == 0)
        known.senders.clear();
    known.number = it.number;
    for (const auto& ended : it.ended)
        known.senders.erase(ended);
    for (const auto& joined : it.joined)
        known.senders.insert_or_assign(joined.sender, joined);
    for (const auto& facts : it.changed) {
        const auto found = known.senders.find(facts.sender);
        if (found == known.senders.end())
            continue;
        auto& last = found->second;
        last.sequence = facts.sequence;
        last.applied = facts.applied;
        last.open_flows = facts.open_flows;
        last.flow_watermark = facts.flow_watermark;
    }
}

void follower_table::renew(
    const follower& known, const lease_batch& it, lease_table& leases, core::time_point now, lease_batch_answer& to)
{
    std::unordered_map<core::incarnation, core::milliseconds> ages;
    for (const auto& silent : it.silent)
        ages.insert_or_assign(silent.sender, silent.age);
    std::map<std::string, double> means;
    for (const auto& [sender, last] : known.senders) {
        const auto age = ages.find(sender);
        const auto heard = age == ages.end() ? now : now - age->second;
        const auto answer = leases.on_report(last, heard, now);
        if (answer.result != heartbeat_result::accepted)
            to.refused.push_back({sender, answer.result});
        else if (last.sender_role == process_role::agent)
            means.insert_or_assign(last.service, answer.mean_open_flows);
    }
    for (const auto& [service, mean] : means)
        to.means.push_back({service, mean});
}

lease_batch_answer follower_table::on_batch(const lease_batch& it, lease_table& leases, core::time_point now)
{
    drop_lost(now);
    lease_batch_answer result;
    result.leader_timestamp = timestamp_of(now);
    if (is_late(it, now)) {
        result.result = batch_result::late;
        return result;
    }
    const auto found = followers_.find(it.follower);
    const auto held = found == followers_.end() ? 0 : found->second.number;
    if (it.base > held || (found == followers_.end() && followers_.size() >= limits_.max_followers)) {
        result.result = batch_result::unknown_base;
        return result;
    }
    if (held >= it.number) {
        // A later batch has been taken; this one must not take its changes back.
        result.result = batch_result::late;
        return result;
    }
    auto& known = followers_[it.follower];
    merge(known, it);
    known.heard = now;
    if (known.senders.size() != it.senders) {
        followers_.erase(it.follower);
        result.result = batch_result::unknown_base;
        return result;
    }
    renew(known, it, leases, now, result);
    return result;
}

} // namespace ibisdyke::membership
