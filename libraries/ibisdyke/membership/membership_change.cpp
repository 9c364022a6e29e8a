#include "ibisdyke/membership/membership_change.h"

#include <algorithm>
#include <utility>

namespace ibisdyke::membership {

namespace {

/// Bounds the record of an upstream that flaps for hours while a long-lived flow keeps its watermark back.
constexpr std::size_t max_history = 32;

bool is_open(const std::vector<core::version_interval>& history)
{
    return !history.empty() && !history.back().to;
}

void prune(upstream& it)
{
    auto& history = it.history;
    const auto expired = [&](const core::version_interval& interval) {
        return interval.to && *interval.to <= it.flow_watermark;
    };
    history.erase(std::remove_if(history.begin(), history.end(), expired), history.end());
    // Merging the two oldest intervals keeps every version at which a flow of this upstream may have begun, but adds
    // the versions of the gap between them. history_exact_since marks these, so that this upstream does not take the
    // place of another upstream that got flows in the gap.
    while (history.size() > max_history) {
        it.history_exact_since = std::max(it.history_exact_since, history[1].from);
        history[1].from = history[0].from;
        history.erase(history.begin());
    }
}

void record_eligibility(upstream& it, const core::version& at)
{
    if (is_eligible(it.state) == is_open(it.history))
        return;
    if (is_eligible(it.state)) {
        it.history.push_back({at, std::nullopt});
        return;
    }
    it.history.back().to = at;
    if (it.history.back().from == at)
        it.history.pop_back();
}

/// Whether a live upstream of the service already has the name. A join can be in the log twice if the leader lost its
/// leadership before the first join was committed.
bool is_recorded(const membership_state& state, const join& it)
{
    return std::any_of(state.upstreams.begin(), state.upstreams.end(), [&](const auto& entry) {
        const auto& known = entry.second;
        return known.state != upstream_state::gone && known.service == it.service && known.name == it.name;
    });
}

void apply_join(membership_state& state, const join& it, const core::upstream_id& id, const core::version& at)
{
    if (is_recorded(state, it))
        return;
    upstream added;
    added.id = id;
    added.service = it.service;
    added.name = it.name;
    added.domain = it.domain;
    added.packet_endpoint = it.packet_endpoint;
    added.request_endpoint = it.request_endpoint;
    added.agent = it.agent;
    added.slots = it.slots;
    added.incarnation = it.incarnation;
    // An agent joins only when its upstream answers, and the agent itself ramps up the load of a cold start, so state
    // `starting` is not needed here.
    added.state = upstream_state::active;
    added.history.push_back({at, std::nullopt});
    added.identity_since = at;
    state.upstreams.insert_or_assign(id, std::move(added));
}

void apply_update(upstream& known, const upstream_update& it, const core::version& at)
{
    const bool was_gone = known.state == upstream_state::gone;
    const bool is_gone = it.state == upstream_state::gone;
    if (known.agent != it.agent || known.incarnation != it.incarnation || was_gone != is_gone)
        known.identity_since = at;
    known.state = it.state;
    known.agent_replaced = known.agent_replaced || known.agent != it.agent;
    known.agent = it.agent;
    known.packet_endpoint = it.packet_endpoint;
    known.request_endpoint = it.request_endpoint;
    known.slots = it.slots;
    known.incarnation = it.incarnation;
    if (!is_gone)
        known.gone_at.reset();
    else if (!was_gone)
        known.gone_at = it.proposed_at;
    record_eligibility(known, at);
    known.flow_watermark = std::max(known.flow_watermark, it.flow_watermark);
    prune(known);
}

} // namespace

membership_state apply(const membership_state& before, const membership_change& change, const core::version& at)
{
    auto after = before;
    for (const auto& it : change.updates) {
        const auto known = after.upstreams.find(it.id);
        if (known != after.upstreams.end())
            apply_update(known->second, it, at);
    }
    for (const auto& it : change.forgotten)
        after.upstreams.erase(it);
    for (std::size_t i = 0; i < change.joins.size() && i < core::joins_per_record; ++i)
        apply_join(after, change.joins[i], core::make_upstream_id(at.index, i), at);
    for (const auto& it : change.removed_relays)
        after.relays.erase(it);
    for (const auto& [name, endpoint] : change.relays)
        after.relays.insert_or_assign(name, endpoint);
    for (const auto& it : change.removed_controls)
        after.controls.erase(it);
    for (const auto& [id, endpoint] : change.controls)
        after.controls.insert_or_assign(id, endpoint);
    return after;
}

} // namespace ibisdyke::membership
