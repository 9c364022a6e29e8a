#include "ibisdyke/membership/lease_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace ibisdyke::membership {

namespace {

/// Heartbeats of a replaced incarnation are refused for this long.
constexpr core::milliseconds replaced_incarnation_retention{10'000};

/// Distinguishes processes of the same name, because two live processes cannot be bound to the same endpoint.
const core::endpoint& bound_endpoint(const heartbeat& it)
{
    return it.sender_role == process_role::agent ? it.packet_endpoint : it.peer_endpoint;
}

void add_change_versions(std::vector<core::version>& versions, const std::vector<core::version_interval>& history)
{
    for (const auto& it : history) {
        versions.push_back(it.from);
        if (it.to)
            versions.push_back(*it.to);
    }
}

void sort_unique(std::vector<core::version>& versions)
{
    std::sort(versions.begin(), versions.end());
    versions.erase(std::unique(versions.begin(), versions.end()), versions.end());
}

bool is_listed(const upstream& it)
{
    return it.state != upstream_state::gone && it.state != upstream_state::draining;
}

void drop_older(std::deque<core::time_point>& times, core::time_point limit)
{
    while (!times.empty() && times.front() <= limit)
        times.pop_front();
}

} // namespace

std::size_t lease_table::process_key_hash::operator()(const process_key& it) const noexcept
{
    constexpr std::size_t mixer = 0x9e3779b97f4a7c15;
    return std::hash<std::string>{}(it.second) ^ (it.first.value() * mixer);
}

lease_table::lease_table(const lease_limits& limits, core::time_point now)
    : limits_(limits)
    , grace_end_(now + limits.grace_period)
    , last_tick_(now)
    , configuration_(std::make_shared<const configuration::configuration_state>())
    , membership_(std::make_shared<const membership_state>())
{
}

void lease_table::update(std::shared_ptr<const configuration::configuration_state> configuration,
    std::shared_ptr<const membership_state> membership, const core::version& latest, core::time_point now)
{
    track_removals(*membership, now);
    const auto before = std::exchange(membership_, std::move(membership));
    configuration_ = std::move(configuration);
    latest_ = latest;
    index_state();
    index_eligibility_changes();
    track_watermark_records(*before, now);
}

void lease_table::track_removals(const membership_state& next, core::time_point now)
{
    for (const auto& [id, it] : next.upstreams) {
        if (it.state != upstream_state::gone)
            continue;
        const auto before = membership_->upstreams.find(id);
        if (before == membership_->upstreams.end() || before->second.state == upstream_state::gone)
            continue;
        gone_times_[id].push_back(now);
        if (is_listed(before->second))
            removal_times_[it.service].push_back(now);
    }
}

/// Grants one record of flow watermarks for each update that brings a new change of eligibility. Deducts one for each
/// other update that brings recorded watermarks.
void lease_table::track_watermark_records(const membership_state& before, core::time_point now)
{
    bool recorded = false;
    auto old = before.upstreams.begin();
    for (const auto& [id, it] : membership_->upstreams) {
        while (old != before.upstreams.end() && old->first < id)
            ++old;
        if (old != before.upstreams.end() && old->first == id && old->second.flow_watermark != it.flow_watermark)
            recorded = true;
    }
    auto newest = domain_changes_.empty() ? core::version{} : domain_changes_.back();
    for (const auto& [service, versions] : eligibility_changes_)
        newest = std::max(newest, versions.back());
    if (recorded)
        watermarks_recorded_at_ = now;
    if (newest > newest_change_) {
        newest_change_ = newest;
        newest_change_seen_at_ = now;
        ++watermark_records_left_;
    } else if (recorded && watermark_records_left_ > 0) {
        --watermark_records_left_;
    }
}

void lease_table::index_eligibility_changes()
{
    eligibility_changes_.clear();
    domain_changes_.clear();
    for (const auto& [id, it] : membership_->upstreams) {
        if (!it.history.empty())
            add_change_versions(eligibility_changes_[it.service], it.history);
    }
    for (auto& [service, versions] : eligibility_changes_)
        sort_unique(versions);
    for (const auto& [name, it] : configuration_->domains)
        add_change_versions(domain_changes_, it.history);
    sort_unique(domain_changes_);
}

void lease_table::index_state()
{
    service_ids_.clear();
    for (const auto& [id, it] : configuration_->services)
        service_ids_.insert_or_assign(it.name, id);
    upstream_ids_.clear();
    listed_counts_.clear();
    for (const auto& [id, it] : membership_->upstreams) {
        if (is_listed(it))
            ++listed_counts_[it.service];
        // A later upstream of the same name has a higher id, so a live upstream replaces a gone one.
        upstream_ids_.insert_or_assign({it.service, it.name}, id);
    }
}

std::optional<lease_table::process_key> lease_table::key_of(const heartbeat& it) const
{
    if (it.sender_role == process_role::balancer)
        return process_key{core::service_id(0), it.name};
    const auto found = service_ids_.find(it.service);
    if (found == service_ids_.end())
        return std::nullopt;
    return process_key{found->second, it.name};
}

const upstream* lease_table::find_upstream(const process_key& key) const
{
    const auto id = upstream_ids_.find(key);
    if (id == upstream_ids_.end())
        return nullptr;
    const auto found = membership_->upstreams.find(id->second);
    return found == membership_->upstreams.end() ? nullptr : &found->second;
}

bool lease_table::has_live_lease(const process_key& key, core::time_point now) const
{
    const auto found = leases_.find(key);
    return found != leases_.end() && is_live(found->second, now);
}

bool lease_table::endpoint_is_in_use(const process_key& key, const core::endpoint& address, core::time_point now) const
{
    const auto holder = endpoint_holders_.find(address);
    return holder != endpoint_holders_.end() && holder->second != key && has_live_lease(holder->second, now);
}

bool lease_table::may_take_over(const process_key& key, const heartbeat& it, core::time_point now) const
{
    if (it.sender_role == process_role::agent && endpoint_is_in_use(key, it.packet_endpoint, now))
        return false;
    const auto holder = leases_.find(key);
    if (holder != leases_.end() && is_live(holder->second, now))
        return bound_endpoint(holder->second.last) == bound_endpoint(it);
    // During the grace period a live recorded agent may not have sent a heartbeat to this leader yet, so no other agent
    // may take its name.
    const auto* const known = find_upstream(key);
    return is_settled(now) || known == nullptr || known->state == upstream_state::gone || known->agent == it.sender
        || known->packet_endpoint == it.packet_endpoint;
}

/// Whether the heartbeat may have been sent before the record of its upstream came to name another agent or run, or to
/// say that the upstream is gone. A heartbeat can be held up on the network and arrive after its sender has ended, and
/// a new leader knows no sequence numbers. A sender that has applied the record has sent the heartbeat after it.
bool lease_table::may_be_outdated(const process_key& key, const heartbeat& it) const
{
    const auto* const known = it.sender_role == process_role::agent ? find_upstream(key) : nullptr;
    if (known == nullptr || it.applied >= known->identity_since)
        return false;
    // Among the heartbeats of a sender that this leader knows, the sequence numbers show the order.
    const auto holder = leases_.find(key);
    if (holder != leases_.end() && holder->second.last.sender == it.sender)
        return false;
    return known->state == upstream_state::gone || it.departed || known->agent != it.sender
        || known->incarnation != it.upstream_incarnation;
}

heartbeat_result lease_table::renew(
    lease& known, const process_key& key, const received_heartbeat& received, core::time_point now)
{
    const auto& it = received.message;
    const bool is_newer = it.sequence > known.last.sequence;
    if (!is_newer && received.source == heartbeat_source::sender)
        return heartbeat_result::accepted;
    if (it.sender_role == process_role::agent && endpoint_is_in_use(key, it.packet_endpoint, now))
        return heartbeat_result::name_taken;
    if (is_newer)
        known.last = it;
    known.renewed_at = std::max(known.renewed_at, received.received_at);
    return heartbeat_result::accepted;
}

heartbeat_result lease_table::accept(const process_key& key, const received_heartbeat& received, core::time_point now)
{
    const auto& it = received.message;
    if (replaced_incarnations_.contains(it.sender) || may_be_outdated(key, it))
        return heartbeat_result::name_taken;
    const auto holder = leases_.find(key);
    if (holder != leases_.end() && holder->second.last.sender == it.sender) {
        const auto result = renew(holder->second, key, received, now);
        if (result != heartbeat_result::accepted || holder->second.last.sequence != it.sequence)
            return result;
    } else {
        const bool may_be_outdated = holder != leases_.end() && is_live(holder->second, now)
            && received.source == heartbeat_source::follower && it.sequence <= holder->second.last.sequence;
        if (may_be_outdated || !may_take_over(key, it, now))
            return heartbeat_result::name_taken;
        if (holder != leases_.end())
            replaced_incarnations_.insert_or_assign(holder->second.last.sender, now);
        leases_.insert_or_assign(key, lease{it, now, received.received_at});
    }
    if (it.sender_role == process_role::agent)
        endpoint_holders_.insert_or_assign(it.packet_endpoint, key);
    return heartbeat_result::accepted;
}

heartbeat_answer lease_table::on_heartbeat(const heartbeat& it, core::time_point now)
{
    return process_heartbeat({it, heartbeat_source::sender, now}, now);
}

heartbeat_answer lease_table::on_reported_heartbeat(
    const heartbeat& it, core::time_point received_at, core::time_point now)
{
    if (now - received_at >= limits_.lease_duration)
        return {};
    return process_heartbeat({it, heartbeat_source::follower, received_at}, now);
}

heartbeat_answer lease_table::process_heartbeat(const received_heartbeat& received, core::time_point now)
{
    const auto& it = received.message;
    heartbeat_answer answer;
    answer.latest = latest_;
    const auto key = key_of(it);
    answer.result = key ? accept(*key, received, now) : heartbeat_result::unknown_service;
    if (answer.result != heartbeat_result::accepted) {
        if (!replaced_incarnations_.contains(it.sender))
            unregistered_.insert_or_assign(it.sender, lease{it, now, received.received_at});
        return answer;
    }
    unregistered_.erase(it.sender);
    if (it.sender_role == process_role::balancer)
        return answer;
    if (const auto* const known = find_upstream(*key))
        answer.upstream = known->id;
    if (const auto mean = mean_open_flows_.find(key->first); mean != mean_open_flows_.end())
        answer.mean_open_flows = mean->second;
    return answer;
}

void lease_table::tick(core::time_point now)
{
    if (now - last_tick_ > limits_.pause_threshold)
        grace_end_ = std::max(grace_end_, now + limits_.grace_period);
    last_tick_ = now;
    drop_expired(now);
    compute_means(now);
}

void lease_table::drop_expired(core::time_point now)
{
    const auto limit = now - 2 * limits_.lease_duration;
    for (auto it = endpoint_holders_.begin(); it != endpoint_holders_.end();) {
        const auto holder = leases_.find(it->second);
        const bool ended = holder == leases_.end() || holder->second.renewed_at < limit
            || holder->second.last.packet_endpoint != it->first;
        it = ended ? endpoint_holders_.erase(it) : std::next(it);
    }
    std::erase_if(leases_, [&](const auto& it) { return it.second.renewed_at < limit; });
    std::erase_if(unregistered_, [&](const auto& it) { return it.second.renewed_at < limit; });
    std::erase_if(
        replaced_incarnations_, [&](const auto& it) { return now - it.second >= replaced_incarnation_retention; });
    for (auto& [service, removals] : removal_times_)
        drop_older(removals, now - limits_.mass_expiry_window);
    for (auto& [id, times] : gone_times_)
        drop_older(times, now - limits_.flap_window);
    std::erase_if(removal_times_, [](const auto& it) { return it.second.empty(); });
    std::erase_if(gone_times_, [](const auto& it) { return it.second.empty(); });
}

void lease_table::compute_means(core::time_point now)
{
    struct sum {
        double flows = 0;
        double members = 0;
    };
    std::unordered_map<core::service_id, sum> sums;
    for (const auto& [key, it] : leases_) {
        if (it.last.sender_role != process_role::agent || it.last.draining || !is_live(it, now))
            continue;
        auto& total = sums[key.first];
        total.flows += static_cast<double>(it.last.open_flows);
        total.members += 1;
    }
    mean_open_flows_.clear();
    for (const auto& [service, total] : sums)
        mean_open_flows_.emplace(service, total.flows / total.members);
}

std::vector<process_status> lease_table::processes(core::time_point now) const
{
    std::vector<process_status> result;
    const auto add = [&](const lease& it) {
        if (is_live(it, now))
            result.push_back({it.last.name, it.last.sender_role, it.last.domain, it.last.sender, it.last.applied});
    };
    for (const auto& [key, it] : leases_)
        add(it);
    for (const auto& [incarnation, it] : unregistered_)
        add(it);
    std::sort(result.begin(), result.end(), [](const auto& left, const auto& right) {
        return std::tie(left.role, left.name, left.incarnation) < std::tie(right.role, right.name, right.incarnation);
    });
    return result;
}

} // namespace ibisdyke::membership
