#include "ibisdyke/frontends/requests/record_holders.h"

#include "ibisdyke/requests/deadline.h"

#include <algorithm>

namespace ibisdyke::frontends {

namespace {

/// A key first sent more than this long after a change of members is handled only by agents that know the change: 7 s
/// until the change is in effect everywhere, 2 s of clock skew and 1 s for requests in transit.
constexpr core::milliseconds max_table_lag{10'000};

/// Time after the start of a drain until the upstream gets no new work.
constexpr core::milliseconds max_drain_lag{2'000};

/// How long departures are kept: longer than any record.
constexpr std::chrono::hours departure_retention{1};

/// Tables and states are published separately, so a state may lag behind the latest table. No state in use lags by more
/// than this many changes.
constexpr std::size_t max_recent_routes = 8;

} // namespace

void record_holders::add_routes(std::shared_ptr<const routing::routing_table> routes)
{
    recent_routes_.push_back(std::move(routes));
    if (recent_routes_.size() > max_recent_routes)
        recent_routes_.pop_front();
}

void record_holders::update(const dissemination::system_state& state, core::wall_time now)
{
    std::map<core::upstream_id, core::endpoint> present;
    std::map<core::upstream_id, membership::upstream_state> states;
    // Members that depart in the same change share the chains, so these are computed only once.
    std::shared_ptr<const routing::service_chains> chains;
    for (const auto& [id, it] : state.membership.upstreams) {
        if (id == self_ && !joined_at_)
            joined_at_ = now;
        if (it.service != service_ || id == self_)
            continue;
        states.emplace(id, it.state);
        if (it.state == membership::upstream_state::draining)
            draining_since_.try_emplace(id, now);
        if (is_reachable(state, it)) {
            present.emplace(id, it.request_endpoint);
            departed_.erase(id);
        } else if (!departed_.contains(id)) {
            if (!chains)
                chains = chains_before_change();
            departed_.emplace(id, departure{departure_time(it, now), chains});
        }
        if (it.state == membership::upstream_state::active)
            draining_since_.erase(id);
    }
    if (present != reachable_members_ || states != member_states_)
        members_changed_at_ = now;
    reachable_members_ = std::move(present);
    member_states_ = std::move(states);
    applied_version_ = state.applied;
    std::erase_if(departed_, [now](const auto& it) { return it.second.last_new_key_at + departure_retention < now; });
}

std::vector<core::endpoint> record_holders::peers_to_ask(
    const routing::chain* chain, std::optional<core::wall_time> first_sent) const
{
    std::vector<core::endpoint> result;
    const auto same_members = first_sent && *first_sent > members_changed_at_ + max_table_lag;
    if (chain == nullptr || !same_members) {
        for (const auto& [id, endpoint] : reachable_members_) {
            if (!was_drained_before(id, first_sent))
                result.push_back(endpoint);
        }
        return result;
    }
    const auto n = std::min(chain->candidates, chain->members.size());
    for (std::size_t i = 0; i < n; ++i) {
        if (chain->members[i].id != self_)
            result.push_back(chain->members[i].request_endpoint);
    }
    return result;
}

std::size_t record_holders::count_departed(core::wall_time first_sent) const
{
    return static_cast<std::size_t>(std::count_if(departed_.begin(), departed_.end(), [first_sent](const auto& it) {
        return first_sent <= it.second.last_new_key_at + requests::clock_skew_tolerance;
    }));
}

bool record_holders::is_known_to_all_members(core::wall_time first_sent) const
{
    return joined_at_ && first_sent > *joined_at_ + max_table_lag;
}

bool record_holders::was_drained_before(const core::upstream_id& id, std::optional<core::wall_time> first_sent) const
{
    const auto it = draining_since_.find(id);
    return it != draining_since_.end() && first_sent
        && *first_sent > it->second + max_drain_lag + requests::clock_skew_tolerance;
}

std::optional<core::wall_time> record_holders::records_lost_until(std::uint32_t bucket) const
{
    std::optional<core::wall_time> result;
    for (const auto& [id, it] : departed_) {
        const auto& departed_id = id;
        const auto is_departed = [&departed_id](const auto& member) { return member.id == departed_id; };
        const auto may_have_held = it.chains == nullptr
            || std::any_of(
                it.chains->chain_of(bucket).members.begin(), it.chains->chain_of(bucket).members.end(), is_departed);
        if (may_have_held)
            result = result ? std::max(*result, it.last_new_key_at) : it.last_new_key_at;
    }
    return result;
}

bool record_holders::is_reachable(const dissemination::system_state& state, const membership::upstream& it) const
{
    if (it.state == membership::upstream_state::gone)
        return false;
    const auto domain = state.configuration.domains.find(it.domain);
    return domain == state.configuration.domains.end() || domain->second.state != configuration::domain_state::out;
}

core::wall_time record_holders::departure_time(const membership::upstream& it, core::wall_time now) const
{
    const auto at = it.gone_at.value_or(now);
    const auto drained = draining_since_.find(it.id);
    return drained == draining_since_.end() ? at : std::min(at, drained->second + max_drain_lag);
}

// Uses the latest table that is not newer than the last applied state. Newer tables may already lack the departed
// member.
std::shared_ptr<const routing::service_chains> record_holders::chains_before_change() const
{
    const auto it = std::find_if(recent_routes_.rbegin(), recent_routes_.rend(),
        [this](const auto& routes) { return routes->at() <= applied_version_; });
    const auto chains = it == recent_routes_.rend() ? nullptr : (*it)->find_service(service_);
    if (!chains)
        return nullptr;
    // A record can outlive all flows that began before it, so a member's flow watermark does not show that its records
    // are gone.
    auto service = chains->service();
    for (auto& member : service.members)
        member.flow_watermark = {};
    return routing::service_chains::create(service);
}

} // namespace ibisdyke::frontends
