#include "ibisdyke/membership/sender_table.h"

#include <algorithm>

namespace ibisdyke::membership {

namespace {

/// Returns the heartbeat without the fields that sender_status holds.
heartbeat identity_of(const heartbeat& it)
{
    auto result = it;
    result.sequence = 0;
    result.applied = {};
    result.open_flows = 0;
    result.flow_watermark = {};
    result.usage.clear();
    return result;
}

bool has_same_status(const heartbeat& left, const heartbeat& right)
{
    return left.applied == right.applied && left.open_flows == right.open_flows
        && left.flow_watermark == right.flow_watermark;
}

sender_status status_of(const heartbeat& it)
{
    return {it.sender, it.sequence, it.applied, it.open_flows, it.flow_watermark, it.usage};
}

} // namespace

sender_table::sender_table(const core::incarnation& self, const sender_limits& limits, core::time_point now)
    : self_(self)
    , limits_(limits)
    , last_batch_at_(now)
    , last_accepted_at_(now)
{
}

void sender_table::update(const configuration::configuration_state& configuration, const membership_state& membership,
    const core::version& latest)
{
    latest_ = latest;
    upstream_ids_.clear();
    for (const auto& [id, it] : membership.upstreams) {
        const auto service = configuration.services.find(it.service);
        // A later upstream of the same name has a higher id, so a live upstream replaces a gone one.
        if (service != configuration.services.end())
            upstream_ids_.insert_or_assign({service->second.name, it.name}, id);
    }
}

void sender_table::store_heartbeat(entry& known, const heartbeat& it, core::time_point now)
{
    if (identity_of(known.last) != identity_of(it)) {
        known.full_since_batch = next_number_;
        is_urgent_ = true;
    } else if (!has_same_status(known.last, it) || !it.usage.empty()) {
        known.status_since_batch = next_number_;
    }
    // Keeps a usage report that the leader has not acknowledged until a newer report replaces it.
    const auto usage = it.usage.empty() ? known.last.usage : it.usage;
    known.last = it;
    known.last.usage = usage;
    known.received_at = now;
}

std::optional<heartbeat_answer> sender_table::on_heartbeat(const heartbeat& it, core::time_point now)
{
    const auto found = senders_.find(it.sender);
    if (found != senders_.end()) {
        if (it.sequence > found->second.last.sequence)
            store_heartbeat(found->second, it, now);
    } else {
        if (senders_.size() >= limits_.max_senders)
            return make_no_leader_answer();
        senders_.emplace(it.sender, entry{it, now, next_number_});
        removed_.erase(it.sender);
        is_urgent_ = true;
    }
    return find_answer(it.sender, now);
}

heartbeat_answer sender_table::make_no_leader_answer() const
{
    heartbeat_answer result;
    result.result = heartbeat_result::no_leader;
    result.latest = latest_;
    return result;
}

std::optional<heartbeat_answer> sender_table::find_answer(const core::incarnation& sender, core::time_point now) const
{
    const auto found = senders_.find(sender);
    if (found == senders_.end() || now - last_accepted_at_ >= limits_.leader_timeout)
        return make_no_leader_answer();
    const auto& it = found->second;
    if (!it.is_confirmed)
        return std::nullopt;
    heartbeat_answer result;
    result.result = it.result;
    result.latest = latest_;
    if (it.result != heartbeat_result::accepted || it.last.sender_role == process_role::balancer)
        return result;
    if (const auto id = upstream_ids_.find({it.last.service, it.last.name}); id != upstream_ids_.end())
        result.upstream = id->second;
    if (const auto mean = mean_open_flows_.find(it.last.service); mean != mean_open_flows_.end())
        result.mean_open_flows = mean->second;
    return result;
}

void sender_table::remove_expired(core::time_point now)
{
    for (auto it = senders_.begin(); it != senders_.end();) {
        if (now - it->second.received_at < limits_.lease_duration) {
            ++it;
            continue;
        }
        removed_.insert_or_assign(it->first, next_number_);
        it = senders_.erase(it);
    }
}

lease_batch sender_table::make_batch(core::time_point now)
{
    remove_expired(now);
    lease_batch result;
    result.follower = self_;
    result.number = next_number_++;
    result.base = acknowledged_;
    result.echoed_timestamp = leader_timestamp_;
    result.sender_count = senders_.size();
    for (const auto& [sender, it] : senders_) {
        if (it.full_since_batch > acknowledged_)
            result.full_heartbeats.push_back(it.last);
        else if (it.status_since_batch > acknowledged_)
            result.changed.push_back(status_of(it.last));
        if (now - it.received_at > limits_.max_fresh_age)
            result.stale.push_back({sender, std::chrono::ceil<core::milliseconds>(now - it.received_at)});
    }
    for (const auto& [sender, number] : removed_) {
        if (number > acknowledged_)
            result.removed.push_back(sender);
    }
    last_batch_at_ = now;
    is_urgent_ = false;
    return result;
}

void sender_table::on_answer(std::uint64_t number, const lease_batch_answer& it, core::time_point now)
{
    if (it.result == batch_result::not_leader)
        return;
    leader_timestamp_ = std::max(leader_timestamp_, it.leader_timestamp);
    if (it.result == batch_result::stale) {
        is_urgent_ = true;
        return;
    }
    if (it.result == batch_result::unknown_base) {
        // An answer to a batch before the current base does not mean that the leader lacks that base.
        if (number > acknowledged_)
            reset_leader(now);
        leader_timestamp_ = std::max(leader_timestamp_, it.leader_timestamp);
        return;
    }
    last_accepted_at_ = now;
    if (number <= acknowledged_)
        return;
    acknowledged_ = number;
    std::erase_if(removed_, [&](const auto& removal) { return removal.second <= number; });
    for (auto& [sender, known] : senders_) {
        if (known.full_since_batch > number)
            continue;
        known.is_confirmed = true;
        known.result = heartbeat_result::accepted;
        if (known.status_since_batch <= number)
            known.last.usage.clear();
    }
    for (const auto& refused : it.refused) {
        if (const auto found = senders_.find(refused.sender); found != senders_.end())
            found->second.result = refused.result;
    }
    mean_open_flows_.clear();
    for (const auto& mean : it.means)
        mean_open_flows_.insert_or_assign(mean.service, mean.open_flows);
}

void sender_table::reset_leader(core::time_point now)
{
    acknowledged_ = 0;
    leader_timestamp_ = 0;
    last_accepted_at_ = now;
    is_urgent_ = true;
    // The next batch is a full report, which replaces the leader's list, so removals need not be reported.
    removed_.clear();
    for (auto& [sender, it] : senders_) {
        it.full_since_batch = next_number_;
        it.is_confirmed = false;
    }
}

} // namespace ibisdyke::membership
