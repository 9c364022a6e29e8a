#include "ibisdyke/routing/flow_agent.h"

#include "ibisdyke/routing/flow_search.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace ibisdyke::routing {

namespace {

using detail::add_own_chain;
using detail::begin_placement;
using detail::earliest;
using detail::has_searched;
using detail::holds;
using detail::is_for_service;
using detail::is_recovering;
using detail::members_left_out;
using detail::names;
using detail::next_to_ask;
using detail::offer_adoption;
using detail::position_of;
using detail::services_of;
using detail::use_chain;
using detail::was_asked;

packet_decision rejected(packet_reason reason)
{
    return {packet_action::reject, reason, std::nullopt};
}

packet_decision dropped(packet_reason reason)
{
    return {packet_action::drop, reason, std::nullopt};
}

packet_decision forwarded(packet_header header, std::uint32_t position)
{
    header.position = position;
    ++header.hops;
    return {packet_action::forward, packet_reason::none, std::move(header)};
}

} // namespace

flow_agent::flow_agent(const flow_limits& limits, double extensions_per_second, const answer_limits& answers)
    : flows_(limits)
    , extensions_(extensions_per_second, std::max(extensions_per_second, 1.0))
    , new_answers_(answers.per_second, answers.burst)
    , open_answers_(answers.per_second, answers.burst)
{
}

packet_decision flow_agent::decide(
    const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now)
{
    return limit_answer(decide_unlimited(packet, header, agent, now), packet, now);
}

packet_decision flow_agent::limit_answer(packet_decision decision, const packet_info& packet, core::time_point now)
{
    if (decision.action != packet_action::reject)
        return decision;
    auto& answers = may_start_flow(packet.kind) ? new_answers_ : open_answers_;
    return answers.take(now) ? decision : dropped(packet_reason::answer_limit);
}

packet_decision flow_agent::decide_unlimited(
    const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now)
{
    if (!names(header, agent))
        return dropped(packet_reason::foreign);
    if (header.hops >= max_hops)
        return dropped(packet_reason::too_many_hops);
    tables_.note_seen(header.table, agent.applied, now);
    // An agent in a failure domain that is out gives up its own flows only. Balancers and agents apply the change at
    // different times, so flows of other members still pass here and must go on along their chain.
    if (auto known = follow(packet, header, agent, now))
        return *std::move(known);
    // A flow that is known was checked when it began, and goes on when its address is given to another service.
    if (!is_for_service(packet, header, agent))
        return misdirected(packet, header, agent);
    if (agent.upstream_returns_packets && is_recovering(agent, now) && !may_start_flow(packet.kind)
        && !was_asked(header, header.position) && flows_.insert(packet, {std::nullopt, earliest(agent)}, now))
        return {packet_action::adopt, packet_reason::none, std::nullopt};
    auto next = header;
    next.asked |= 1U << header.position;
    switch (header.phase) {
    case search_phase::find:
        return search(packet, std::move(next), agent, now);
    case search_phase::place:
        return place(packet, std::move(next), agent, now);
    case search_phase::assign:
        break;
    }
    return assign(packet, next, agent, now);
}

/// Decides about a packet that the balancer's table takes for a flow of this service and the agent's own does not. The
/// agent's table is the newer one: a new flow goes where that sends it.
packet_decision flow_agent::misdirected(
    const packet_info& packet, const packet_header& header, const agent_snapshot& agent)
{
    if (!agent.table || !may_start_flow(packet.kind) || header.table >= agent.applied)
        return dropped(packet_reason::foreign);
    const auto& destinations = agent.table->destinations();
    const auto* const target = destinations.choose(packet.flow);
    if (target == nullptr)
        return destinations.state_of(packet.flow) == address_state::withdrawn ? rejected(packet_reason::withdrawn)
                                                                              : dropped(packet_reason::foreign);
    const auto* const members = agent.table->find_chain(target->service, bucket_of_flow(packet.flow));
    if (members == nullptr || members->candidates == 0)
        return rejected(packet_reason::no_capacity);
    auto next = header;
    next.table = agent.applied;
    use_chain(next, target->service, *members);
    if (packet.is_first)
        next.phase = search_phase::place;
    return forwarded(std::move(next), 0);
}

std::optional<packet_decision> flow_agent::follow(
    const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now)
{
    const auto* const known = flows_.touch(packet, now);
    if (known == nullptr)
        return std::nullopt;
    if (!known->redirect && packet.has_data)
        admission_.note_request(packet.flow, now);
    if (!known->redirect)
        return agent.domain_out ? rejected(packet_reason::domain_out)
                                : packet_decision{packet_action::deliver, packet_reason::none, std::nullopt};
    if (header.phase == search_phase::assign || header.is_new || !holds(*known->redirect, header, agent)) {
        flows_.erase(packet.flow);
        return std::nullopt;
    }
    auto next = header;
    next.asked |= 1U << header.position;
    const auto position = position_of(next, *known->redirect);
    // The member has lost the flow, but may adopt it when the search is over.
    if (was_asked(next, position))
        return std::nullopt;
    return forwarded(std::move(next), position);
}

packet_decision flow_agent::search(
    const packet_info& packet, packet_header header, const agent_snapshot& agent, core::time_point now)
{
    offer_adoption(header, agent, now);
    add_own_chain(header, packet, agent);
    auto next = next_to_ask(header);
    if (!next && !has_searched(packet, header, agent, now) && extend(packet, header, agent, now))
        next = next_to_ask(header);
    if (next)
        return forwarded(std::move(header), *next);
    return finish_search(packet, std::move(header), agent, now);
}

packet_decision flow_agent::finish_search(
    const packet_info& packet, packet_header header, const agent_snapshot& agent, core::time_point now)
{
    // A datagram may belong to a flow of a member that the balancer's table does not have yet.
    if (packet.kind == packet_kind::datagram && agent.members != nullptr && header.table < agent.applied)
        return search_again(packet, std::move(header), agent, now);
    // Only a SYN is certain to begin a flow. A datagram may belong to a flow that the restarted member has lost.
    const bool adoptable = header.restarted && *header.restarted < header.chain.size();
    if (adoptable && packet.kind != packet_kind::syn) {
        header.position = *header.restarted;
        header.phase = search_phase::assign;
    } else if (packet.kind != packet_kind::syn && tables_.lacks_change(header.table, agent.applied, now)) {
        // The change that this agent and the balancer lack may have hidden the flow's member. The caller sends the
        // packet again.
        return dropped(packet_reason::unknown_flow);
    } else if (!may_start_flow(packet.kind)) {
        const bool searched = has_searched(packet, header, agent, now);
        if (!search_next_service(packet, header, agent))
            return searched ? rejected(packet_reason::unknown_flow) : unknown(packet, now);
    } else if (!begin_placement(header)) {
        return rejected(packet_reason::no_capacity);
    }
    // This agent may be the one to go on with.
    if (!names(header, agent)) {
        const auto position = header.position;
        return forwarded(std::move(header), position);
    }
    header.asked |= 1U << header.position;
    return header.phase == search_phase::place ? place(packet, std::move(header), agent, now)
                                               : assign(packet, header, agent, now);
}

/// Goes on with the next service of the flow's route that may hold the flow: the route's targets or their weights may
/// have changed since the flow began. Returns false when there is none.
bool flow_agent::search_next_service(const packet_info& packet, packet_header& header, const agent_snapshot& agent)
{
    const auto* const route = agent.table ? agent.table->destinations().find(packet.flow) : nullptr;
    if (route == nullptr || header.searched.size() >= max_searched_services)
        return false;
    header.searched.push_back(header.service);
    const auto bucket = bucket_of_flow(packet.flow);
    for (const auto& it : services_of(*route)) {
        if (std::find(header.searched.begin(), header.searched.end(), it) != header.searched.end())
            continue;
        const auto* const members = agent.table->find_chain(it, bucket);
        if (members == nullptr || members->members.empty())
            continue;
        use_chain(header, it, *members);
        return true;
    }
    return false;
}

std::optional<packet_header> flow_agent::make_header(const packet_info& packet, const agent_snapshot& agent)
{
    if (!agent.members)
        return std::nullopt;
    packet_header result;
    result.table = agent.applied;
    use_chain(result, agent.service, agent.members->chain_of(bucket_of_flow(packet.flow)));
    const auto* const self = agent.members->find_member(agent.self);
    if (self == nullptr)
        return std::nullopt;
    result.position = position_of(result, {agent.self, self->target.packet_endpoint});
    return result;
}

packet_decision flow_agent::decide_returned(
    const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now)
{
    if (!names(header, agent))
        return dropped(packet_reason::foreign);
    flows_.erase(packet.flow);
    admission_.note_returned(packet, now);
    auto next = header;
    next.asked |= 1U << header.position;
    if (may_start_flow(packet.kind))
        return limit_answer(place_returned(packet, std::move(next), agent, now), packet, now);
    next.phase = search_phase::find;
    return limit_answer(search(packet, std::move(next), agent, now), packet, now);
}

/// Offers a new flow that the upstream has refused to the other candidates.
packet_decision flow_agent::place_returned(
    const packet_info& packet, packet_header header, const agent_snapshot& agent, core::time_point now)
{
    // What is known of the flow is out of date: the upstream held it, or took it, and has lost it.
    if (header.phase == search_phase::find && !begin_placement(header))
        return rejected(packet_reason::no_capacity);
    if (header.hops >= max_hops || header.phase == search_phase::assign)
        return rejected(packet_reason::no_capacity);
    if (!names(header, agent)) {
        const auto position = header.position;
        return forwarded(std::move(header), position);
    }
    return place(packet, std::move(header), agent, now);
}

packet_decision flow_agent::unknown(const packet_info& packet, core::time_point now)
{
    return failed_searches_.record_failure(packet.flow, now) ? rejected(packet_reason::unknown_flow)
                                                             : dropped(packet_reason::unknown_flow);
}

packet_decision flow_agent::place(
    const packet_info& packet, packet_header header, const agent_snapshot& agent, core::time_point now)
{
    if (!may_start_flow(packet.kind))
        return unknown(packet, now);
    if (is_outdated(header, agent))
        return search_again(packet, std::move(header), agent, now);
    const auto refused = admission_.refusal(packet, agent, flows_.open_flows(), now);
    const bool admitted = !refused;
    const bool last = header.position + 1 >= header.candidates;
    const auto own = load(now);
    const bool has_room = own.waiting == 0 && own.open_flows <= agent.admission.mean_open_flows + 1;
    // The last candidate is in its turn only when all others have too much to do.
    const bool is_best = !header.fallback || own < header.fallback_load;
    if (admitted && (has_room || (last && is_best))) {
        auto taken = take(packet, header, agent, now);
        if (taken.action == packet_action::place)
            return taken;
    } else if (admitted && is_best) {
        header.fallback = header.position;
        header.fallback_load = own;
    }
    if (!last) {
        const auto next = header.position + 1;
        return pass_along(packet, std::move(header), next, search_phase::place, now);
    }
    if (header.fallback && *header.fallback < header.position) {
        const auto next = *header.fallback;
        return pass_along(packet, std::move(header), next, search_phase::assign, now);
    }
    if (refused && admission_.may_come_again(packet, *refused, now))
        return dropped(*refused);
    return rejected(refused.value_or(packet_reason::no_capacity));
}

packet_decision flow_agent::assign(
    const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now)
{
    if (agent.domain_out)
        return rejected(packet_reason::domain_out);
    if (!may_start_flow(packet.kind)) {
        // The flow is open, so only the hard bound applies. It may be as old as the upstream.
        if (flows_.open_flows() >= agent.admission.max_open_flows)
            return rejected(packet_reason::no_capacity);
        if (!flows_.insert(packet, {std::nullopt, earliest(agent)}, now))
            return rejected(packet_reason::table_full);
        return {packet_action::adopt, packet_reason::none, std::nullopt};
    }
    if (is_outdated(header, agent))
        return search_again(packet, header, agent, now);
    if (admission_.admits(agent.admission, flows_.open_flows(), now))
        return take(packet, header, agent, now);
    // A restarted member that cannot take a datagram now leaves it to the candidates.
    auto placed = header;
    placed.restarted.reset();
    if (!header.restarted || header.fallback || !begin_placement(placed))
        return rejected(packet_reason::no_capacity);
    if (names(placed, agent))
        return place(packet, std::move(placed), agent, now);
    return forwarded(std::move(placed), 0);
}

packet_decision flow_agent::pass_along(
    const packet_info& packet, packet_header header, std::uint32_t position, search_phase phase, core::time_point now)
{
    // The entry lets retransmissions and the flow's later packets reach the member that takes the flow. When the table
    // is full the search finds it.
    flows_.insert(packet, {header.chain[position], header.table}, now);
    header.phase = phase;
    return forwarded(std::move(header), position);
}

/// Whether the watermark may have passed the table that the packet came by. A flow that began by it could be missing in
/// newer chains.
bool flow_agent::is_outdated(const packet_header& header, const agent_snapshot& agent) const
{
    return agent.members != nullptr && header.table < tables_.oldest(agent.applied);
}

/// Begins the search for the flow again with the chain of this agent's table, as if a balancer with that table had sent
/// the packet.
packet_decision flow_agent::search_again(
    const packet_info& packet, packet_header header, const agent_snapshot& agent, core::time_point now)
{
    const auto& chain = agent.members->chain_of(bucket_of_flow(packet.flow));
    if (chain.members.empty())
        return rejected(packet_reason::no_capacity);
    header.table = agent.applied;
    use_chain(header, agent.service, chain);
    if (!names(header, agent)) {
        // Later packets by the old table reach the flow through this entry.
        flows_.insert(packet, {header.chain.front(), header.table}, now);
        return forwarded(std::move(header), 0);
    }
    header.asked = 1;
    return search(packet, std::move(header), agent, now);
}

packet_decision flow_agent::take(
    const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now)
{
    const auto began = std::min(header.table, agent.applied);
    if (!flows_.insert(packet, {std::nullopt, began}, now))
        return rejected(packet_reason::table_full);
    admission_.note_placed(packet.flow, now);
    return {packet_action::place, packet_reason::none, std::nullopt};
}

bool flow_agent::extend(
    const packet_info& packet, packet_header& header, const agent_snapshot& agent, core::time_point now)
{
    if (!agent.members || packet.kind == packet_kind::syn)
        return false;
    const auto bucket = bucket_of_flow(packet.flow);
    // Any datagram may begin a flow, so a search beyond the chain is worth its cost only for a chain that left out
    // members that may hold flows.
    if (packet.kind == packet_kind::datagram && !agent.members->chain_of(bucket).truncated)
        return false;
    const auto outside = members_left_out(bucket, header, *agent.members);
    // FIXME: members beyond max_header_members are not asked.
    const auto room = max_header_members - std::min(max_header_members, header.chain.size());
    const auto n = std::min(room, outside.size());
    if (n == 0 || !extensions_.take(now))
        return false;
    for (std::size_t i = 0; i < n; ++i)
        header.chain.push_back({outside[i].id, outside[i].packet_endpoint});
    return true;
}

void flow_agent::maintain(const agent_snapshot& agent, core::time_point now)
{
    if (agent.domain_out)
        flows_.clear();
    flows_.expire(now);
    admission_.maintain(agent.upstream, now);
    tables_.note_applied(agent.applied, now);
}

void flow_agent::note_answer(const packet_info& answer, core::time_point now)
{
    admission_.note_answer(answer, now);
    if (answer.kind == packet_kind::closing)
        flows_.close(answer.flow, now);
}

core::version flow_agent::watermark(const agent_snapshot& agent, core::time_point now) const
{
    auto result = tables_.oldest(agent.applied);
    if (const auto oldest = flows_.watermark())
        result = std::min(result, *oldest);
    // A packet may be on its way to this agent for adoption when the recovery window ends.
    return is_recovering(agent, now - table_history::table_lag) ? std::min(result, earliest(agent)) : result;
}

} // namespace ibisdyke::routing
