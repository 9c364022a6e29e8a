#include "ibisdyke/membership/lease_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

// The log records that lease_table proposes.

namespace ibisdyke::membership {

namespace {

upstream_update update_of(const upstream& it)
{
    upstream_update result;
    result.id = it.id;
    result.state = it.state;
    result.agent = it.agent;
    result.packet_endpoint = it.packet_endpoint;
    result.request_endpoint = it.request_endpoint;
    result.slots = it.slots;
    result.incarnation = it.incarnation;
    return result;
}

upstream_update update_of(
    const upstream& known, const heartbeat& it, const configuration::configuration_state& configuration)
{
    auto result = update_of(known);
    const bool draining = it.draining || configuration.drained_upstreams.contains(known.id);
    result.state = draining ? upstream_state::draining : upstream_state::active;
    if (it.departed)
        result.state = upstream_state::gone;
    result.agent = it.sender;
    result.packet_endpoint = it.packet_endpoint;
    result.request_endpoint = it.request_endpoint;
    result.slots = it.slots;
    result.incarnation = it.upstream_incarnation;
    return result;
}

join join_of(const core::service_id& service, const heartbeat& it)
{
    return {service, it.name, it.domain, it.packet_endpoint, it.request_endpoint, it.sender, it.slots,
        it.upstream_incarnation};
}

/// Whether one of the sorted versions is newer than `from` and not newer than `to`.
bool has_version_in(const std::vector<core::version>& versions, const core::version& from, const core::version& to)
{
    const auto next = std::upper_bound(versions.begin(), versions.end(), from);
    return next != versions.end() && *next <= to;
}

bool is_empty(const membership_change& it)
{
    return it == membership_change{};
}

} // namespace

std::optional<membership_change> lease_table::propose(core::time_point now, core::wall_time wall_now) const
{
    membership_change change;
    std::vector<upstream_update> watermarks;
    for (const auto& [key, it] : leases_) {
        if (!is_live(it, now))
            continue;
        if (it.last.sender_role == process_role::balancer)
            propose_relay(key.second, it, change);
        else
            propose_live_upstream(key, it, now, change, watermarks);
    }
    if (is_settled(now)) {
        propose_expired(now, change);
        propose_removed_relays(now, change);
    }
    propose_controls(change);
    propose_forgotten(wall_now, change);
    // Watermarks are added to records of other changes. A record for watermarks alone is written only when it is due.
    if (!is_empty(change) || watermark_record_is_due(now))
        change.updates.insert(change.updates.end(), watermarks.begin(), watermarks.end());
    for (auto& it : change.updates)
        it.proposed_at = wall_now;
    if (is_empty(change))
        return std::nullopt;
    return change;
}

void lease_table::propose_live_upstream(const process_key& key, const lease& it, core::time_point now,
    membership_change& change, std::vector<upstream_update>& watermarks) const
{
    const auto* const known = find_upstream(key);
    if (known == nullptr) {
        if (!it.last.departed && change.joins.size() < core::joins_per_record)
            change.joins.push_back(join_of(key.first, it.last));
        return;
    }
    auto update = update_of(*known, it.last, *configuration_);
    if (update.state == upstream_state::active && is_in_hold_off(*known, now))
        update.state = upstream_state::starting;
    const bool changed = update != update_of(*known);
    update.flow_watermark = new_watermark(*known, it, now);
    if (changed)
        change.updates.push_back(update);
    else if (update.flow_watermark != core::version{})
        watermarks.push_back(update);
}

/// Returns the watermark to record, or the default version if recording it would not shorten any chain.
core::version lease_table::new_watermark(const upstream& known, const lease& it, core::time_point now) const
{
    if (now - it.first_seen < limits_.prune_delay || known.history.empty())
        return {};
    // A chain gets shorter when the watermark passes a change of eligibility, provided that the upstream was already
    // eligible before this change.
    const auto from = std::max(known.flow_watermark, known.history.front().from);
    const auto to = std::min(it.last.flow_watermark, latest_);
    const auto changes = eligibility_changes_.find(known.service);
    const bool passed = (changes != eligibility_changes_.end() && has_version_in(changes->second, from, to))
        || has_version_in(domain_changes_, from, to);
    return passed ? to : core::version{};
}

bool lease_table::watermark_record_is_due(core::time_point now) const
{
    if (watermark_records_left_ == 0 || now - newest_change_seen_at_ < limits_.watermark_delay)
        return false;
    const auto interval = watermark_records_left_ > 1 ? limits_.watermark_interval : limits_.last_watermark_interval;
    return !watermarks_recorded_at_ || now - *watermarks_recorded_at_ >= interval;
}

bool lease_table::is_in_hold_off(const upstream& known, core::time_point now) const
{
    if (is_eligible(known.state))
        return false;
    const auto found = gone_times_.find(known.id);
    if (found == gone_times_.end() || found->second.size() < limits_.flap_count)
        return false;
    return now - found->second.back() < limits_.flap_hold_off;
}

void lease_table::propose_relay(const std::string& name, const lease& it, membership_change& change) const
{
    if (it.last.peer_endpoint == core::endpoint{})
        return;
    const auto known = membership_->relays.find(name);
    if (known == membership_->relays.end() || known->second != it.last.peer_endpoint)
        change.relays.insert_or_assign(name, it.last.peer_endpoint);
}

double lease_table::mass_expiry_limit(const core::service_id& service) const
{
    const auto found = configuration_->services.find(service);
    if (found == configuration_->services.end())
        return 1;
    const auto rules = configuration_->profiles.find(found->second.profile);
    return rules == configuration_->profiles.end() ? configuration::profile{}.mass_expiry_limit
                                                   : rules->second.mass_expiry_limit;
}

/// Returns how many more upstreams of the service may be removed now under the mass-expiry limit.
std::size_t lease_table::count_removable(const core::service_id& service, core::time_point now) const
{
    // Rounding errors of the product, for example of 0.7 * 90, must not reduce the limit by 1, here to 62.
    constexpr double rounding = 1e-9;
    const auto limit = now - limits_.mass_expiry_window;
    std::size_t removed = 0;
    if (const auto found = removal_times_.find(service); found != removal_times_.end())
        removed = static_cast<std::size_t>(
            std::count_if(found->second.begin(), found->second.end(), [&](auto it) { return it > limit; }));
    const auto listed = listed_counts_.find(service);
    const auto total = removed + (listed == listed_counts_.end() ? 0 : listed->second);
    const auto allowed = std::floor(mass_expiry_limit(service) * static_cast<double>(total) + rounding);
    return static_cast<std::size_t>(std::max(0.0, allowed - static_cast<double>(removed)));
}

void lease_table::propose_expired(core::time_point now, membership_change& change) const
{
    // Sorted by last renewal below, oldest first. Upstreams that have sent this leader no heartbeat come before all
    // others.
    std::map<core::service_id, std::vector<std::pair<core::time_point, const upstream*>>> expired;
    for (const auto& [id, it] : membership_->upstreams) {
        const process_key key{it.service, it.name};
        if (it.state == upstream_state::gone || has_live_lease(key, now))
            continue;
        auto update = update_of(it);
        update.state = upstream_state::gone;
        // The mass-expiry limit does not apply to draining upstreams, which leave as planned; operators also drain a
        // dead suspect to remove it. Nor does it apply when another live agent is bound to the packet endpoint, because
        // the former agent must then be dead.
        const bool draining = it.state == upstream_state::draining || configuration_->drained_upstreams.contains(id);
        if (draining || endpoint_is_in_use(key, it.packet_endpoint, now)) {
            change.updates.push_back(update);
            continue;
        }
        if (it.state == upstream_state::suspect)
            continue;
        const auto last = leases_.find(key);
        expired[it.service].emplace_back(last == leases_.end() ? core::time_point{} : last->second.renewed_at, &it);
    }
    for (auto& [service, upstreams] : expired) {
        std::sort(upstreams.begin(), upstreams.end(), [](const auto& left, const auto& right) {
            return std::pair(left.first, left.second->id) < std::pair(right.first, right.second->id);
        });
        const auto allowed = count_removable(service, now);
        for (std::size_t i = 0; i < upstreams.size(); ++i) {
            // A suspect upstream takes new flows, which one in a hold-off must not.
            if (i >= allowed && upstreams[i].second->state == upstream_state::starting)
                continue;
            auto update = update_of(*upstreams[i].second);
            update.state = i < allowed ? upstream_state::gone : upstream_state::suspect;
            change.updates.push_back(update);
        }
    }
}

void lease_table::propose_controls(membership_change& change) const
{
    if (controls_.empty())
        return;
    for (const auto& [id, endpoint] : controls_) {
        const auto known = membership_->controls.find(id);
        if (known == membership_->controls.end() || known->second != endpoint)
            change.controls.emplace(id, endpoint);
    }
    for (const auto& [id, endpoint] : membership_->controls) {
        if (!controls_.contains(id))
            change.removed_controls.push_back(id);
    }
}

void lease_table::propose_removed_relays(core::time_point now, membership_change& change) const
{
    for (const auto& [name, endpoint] : membership_->relays) {
        if (!has_live_lease({core::service_id(0), name}, now))
            change.removed_relays.push_back(name);
    }
}

void lease_table::propose_forgotten(core::wall_time wall_now, membership_change& change) const
{
    const auto is_updated = [&](const core::upstream_id& id) {
        return std::any_of(
            change.updates.begin(), change.updates.end(), [&](const auto& update) { return update.id == id; });
    };
    for (const auto& [id, it] : membership_->upstreams) {
        if (it.gone_at && wall_now - *it.gone_at >= limits_.gone_record_retention && !is_updated(id))
            change.forgotten.push_back(id);
    }
}

} // namespace ibisdyke::membership
