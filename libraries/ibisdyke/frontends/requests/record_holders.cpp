#include "ibisdyke/frontends/requests/record_holders.h"

#include "ibisdyke/requests/deadline.h"

#include <algorithm>

namespace ibisdyke::frontends {

namespace {

/// A change is in effect everywhere within 7 s; clocks may differ by 2 s, and 1 s is for requests on their way.
constexpr core::milliseconds table_lag{10'000};

/// A draining upstream gets no new work after this time.
constexpr core::milliseconds drain_lag{2'000};

/// How long departures matter: longer than any record is kept.
constexpr std::chrono::hours departure_memory{1};

/// Tables and states arrive separately; a table that is this many changes old is older than any state in use.
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
    // All that depart in one change have the same chains, which are worked out for the first of them.
    std::shared_ptr<const routing::service_chains> chains;
    for (const auto& [id, it] : state.membership.upstreams) {
        if (id == self_ && !joined_at_)
            joined_at_ = now;
        if (it.service != service_ || id == self_)
            continue;
        states.emplace(id, it.state);
        if (it.state == membership::upstream_state::draining)
            draining_since_.try_emplace(id, now);
        if (is_present(state, it)) {
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
    if (present != present_ || states != states_)
        changed_at_ = now;
    present_ = std::move(present);
    states_ = std::move(states);
    applied_ = state.applied;
    std::erase_if(departed_, [now](const auto& it) { return it.second.at + departure_memory < now; });
}

std::vector<core::endpoint> record_holders::peers(
    const routing::chain* chain, std::optional<core::wall_time> first_sent) const
{
    std::vector<core::endpoint> result;
    const auto same_members = first_sent && *first_sent > changed_at_ + table_lag;
    if (chain == nullptr || !same_members) {
        for (const auto& [id, endpoint] : present_) {
            if (!is_drained_before(id, first_sent))
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
    return static_cast<std::size_t>(std::count_if(departed_.begin(), departed_.end(),
        [first_sent](const auto& it) { return first_sent <= it.second.at + requests::clock_skew_tolerance; }));
}

bool record_holders::is_established(core::wall_time first_sent) const
{
    return joined_at_ && first_sent > *joined_at_ + table_lag;
}

bool record_holders::is_drained_before(const core::upstream_id& id, std::optional<core::wall_time> first_sent) const
{
    const auto it = draining_since_.find(id);
    return it != draining_since_.end() && first_sent
        && *first_sent > it->second + drain_lag + requests::clock_skew_tolerance;
}

std::optional<core::wall_time> record_holders::lost_until(std::uint32_t bucket) const
{
    std::optional<core::wall_time> result;
    for (const auto& [id, it] : departed_) {
        const auto& gone = id;
        const auto names_gone = [&gone](const routing::chain_member& member) { return member.id == gone; };
        const auto held = it.chains == nullptr
            || std::any_of(
                it.chains->chain_of(bucket).members.begin(), it.chains->chain_of(bucket).members.end(), names_gone);
        if (held)
            result = result ? std::max(*result, it.at) : it.at;
    }
    return result;
}

bool record_holders::is_present(const dissemination::system_state& state, const membership::upstream& it) const
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
    return drained == draining_since_.end() ? at : std::min(at, drained->second + drain_lag);
}

// Tables newer than the last state may already lack the member that has left.
std::shared_ptr<const routing::service_chains> record_holders::chains_before_change() const
{
    const auto it = std::find_if(recent_routes_.rbegin(), recent_routes_.rend(),
        [this](const auto& routes) { return routes->at() <= applied_; });
    const auto chains = it == recent_routes_.rend() ? nullptr : (*it)->find_service(service_);
    if (!chains)
        return nullptr;
    // Records of keys live on after the last flow of their time has ended, so the flow watermarks say nothing of them.
    auto service = chains->service();
    for (auto& member : service.members)
        member.flow_watermark = {};
    return routing::service_chains::create(service);
}

} // namespace ibisdyke::frontends
