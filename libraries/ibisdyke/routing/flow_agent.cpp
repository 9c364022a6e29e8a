#include "ibisdyke/routing/flow_agent.h"

#include "ibisdyke/routing/flow_search.h"
#include "ibisdyke/routing/make_decision.h"
#include "ibisdyke/routing/target_overflow.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace ibisdyke::routing {

namespace {

using detail::add_own_chain;
using detail::begin_next_members;
using detail::begin_placement;
using detail::dropped;
using detail::earliest_flow_version;
using detail::find_or_add_member;
using detail::forwarded;
using detail::is_addressed_to;
using detail::is_for_service;
using detail::is_recovering;
using detail::is_search_complete;
using detail::mark_asked;
using detail::mark_service_searched;
using detail::may_hold;
using detail::members_missing_from;
using detail::next_unasked_member;
using detail::offer_adoption;
using detail::rejected;
using detail::reset_search;
using detail::unsearched_services;
using detail::was_asked;

} // namespace

flow_agent::flow_agent(const flow_limits& limits, double extensions_per_second, const rejection_limits& rejections)
    : flows_(limits)
    , search_extensions_(extensions_per_second, std::max(extensions_per_second, 1.0))
    , new_flow_rejections_(rejections.per_second, rejections.burst)
    , open_flow_rejections_(rejections.per_second, rejections.burst)
{
}

packet_decision flow_agent::decide(
    const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now)
{
    return limit_rejections(decide_without_limit(packet, header, agent, now), packet, now);
}

packet_decision flow_agent::limit_rejections(packet_decision decision, const packet_info& packet, core::time_point now)
{
    if (decision.action != packet_action::reject)
        return decision;
    auto& limiter = may_start_flow(packet.kind) ? new_flow_rejections_ : open_flow_rejections_;
    return limiter.take(now) ? decision : dropped(packet_reason::answer_limit);
}

packet_decision flow_agent::decide_without_limit(
    const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now)
{
    if (!is_addressed_to(header, agent))
        return dropped(packet_reason::foreign);
    if (header.hops >= max_hops)
        return dropped(packet_reason::too_many_hops);
    table_history_.record_seen(header.table, agent.applied, now);
    const auto unanswering = forget_unanswered_redirect(packet, now);
    // An agent whose failure domain is out of service rejects only its own flows. Balancers and agents apply the change
    // at different times, so packets of other members' flows still arrive here and must continue along their chain.
    if (auto known = handle_known_flow(packet, header, agent, now))
        return *std::move(known);
    // The destination of a known flow was checked when the flow began. The flow continues even if its address has since
    // been assigned to another service.
    if (!is_for_service(packet, header, agent))
        return handle_misdirected_packet(packet, header, agent);
    if (agent.upstream_returns_packets && is_recovering(agent, now) && !may_start_flow(packet.kind)
        && !was_asked(header, header.position)
        && flows_.insert(packet, {std::nullopt, earliest_flow_version(agent)}, now))
        return {packet_action::adopt, packet_reason::none, std::nullopt};
    auto next = header;
    next.asked |= 1U << header.position;
    if (unanswering) {
        mark_asked(next, unanswering->id);
        next.unanswering = unanswering->id;
    }
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

/// When a caller sends its SYN again although this agent has passed the SYN on, the member that got it does not answer,
/// or this agent cannot reach that member. Removes the redirect entry of such a flow and returns the member, which is
/// not asked again.
std::optional<header_member> flow_agent::forget_unanswered_redirect(const packet_info& packet, core::time_point now)
{
    if (!packet.may_be_placed_twice || packet.syn_retransmissions == 0)
        return std::nullopt;
    const auto* const known = flows_.touch(packet, now);
    if (known == nullptr || !known->redirect)
        return std::nullopt;
    const auto result = *known->redirect;
    flows_.erase(packet.flow);
    return result;
}

/// Decides about a packet whose destination belongs to this service in the balancer's table but not in the agent's. If
/// the agent's table is newer, a new flow is forwarded to the service that the agent's table names.
packet_decision flow_agent::handle_misdirected_packet(
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
    reset_search(next, target->service, *members);
    if (packet.is_first)
        next.phase = search_phase::place;
    return forwarded(std::move(next), 0);
}

std::optional<packet_decision> flow_agent::handle_known_flow(
    const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now)
{
    const auto* const known = flows_.touch(packet, now);
    if (known == nullptr)
        return std::nullopt;
    if (!known->redirect && packet.has_data)
        admission_.record_request(packet.flow, now);
    if (!known->redirect)
        return agent.domain_out_of_service ? rejected(packet_reason::domain_out)
                                           : packet_decision{packet_action::deliver, packet_reason::none, std::nullopt};
    const bool is_outdated = header.phase == search_phase::assign || header.is_new
        || (!known->redirect_service && !may_hold(*known->redirect, header, agent));
    if (is_outdated) {
        flows_.erase(packet.flow);
        return std::nullopt;
    }
    if (known->redirect_service) {
        auto next = follow_redirect_to_service(packet, header, *known, agent);
        if (!next)
            return std::nullopt;
        const auto position = next->position;
        return forwarded(*std::move(next), position);
    }
    auto next = header;
    next.asked |= 1U << header.position;
    const auto position = find_or_add_member(next, *known->redirect);
    if (!was_asked(next, position))
        return forwarded(std::move(next), position);
    // The member no longer knows the flow, but may adopt it at the end of the search.
    if (!known->assigned || header.phase != search_phase::place)
        return std::nullopt;
    // Another copy of the first packet was assigned to the member after this one had asked it. A new flow must not
    // begin at another member because of this copy.
    next.phase = search_phase::assign;
    next.fallback = position;
    return forwarded(std::move(next), position);
}

packet_decision flow_agent::search(
    const packet_info& packet, packet_header header, const agent_snapshot& agent, core::time_point now)
{
    offer_adoption(header, agent, now);
    add_own_chain(header, packet, agent);
    auto next = next_unasked_member(header);
    if (!next && !is_search_complete(packet, header, agent, now) && extend_search(packet, header, agent, now))
        next = next_unasked_member(header);
    if (next)
        return forwarded(std::move(header), *next);
    return end_search(packet, std::move(header), agent, now);
}

packet_decision flow_agent::end_search(
    const packet_info& packet, packet_header header, const agent_snapshot& agent, core::time_point now)
{
    // A datagram may belong to a flow of a member that the balancer's table does not contain yet.
    if (packet.kind == packet_kind::datagram && agent.members != nullptr && header.table < agent.applied)
        return search_own_chain(packet, std::move(header), agent, now);
    // Only a SYN certainly begins a flow. A datagram may belong to a flow that the restarted member has lost.
    const bool adoptable = header.restarted && *header.restarted < header.chain.size();
    if (adoptable && packet.kind != packet_kind::syn) {
        header.position = *header.restarted;
        header.phase = search_phase::assign;
    } else if (packet.kind != packet_kind::syn && table_history_.lacks_change(header.table, agent.applied, now)) {
        // The search may have missed the flow's member, because this agent and the balancer lack a change. The caller
        // will retransmit the packet.
        return dropped(packet_reason::unknown_flow);
    } else if (!may_start_flow(packet.kind)) {
        const bool searched = is_search_complete(packet, header, agent, now);
        if (!search_next_service(packet, header, agent))
            return searched ? rejected(packet_reason::unknown_flow) : handle_unknown_flow(packet, now);
    } else if (!begin_placement(header)) {
        auto next = leave_service(packet, header, agent, std::nullopt, std::nullopt, now);
        return next ? *std::move(next) : rejected(packet_reason::no_capacity);
    }
    // The next step may be at this agent itself.
    if (!is_addressed_to(header, agent)) {
        const auto position = header.position;
        return forwarded(std::move(header), position);
    }
    header.asked |= 1U << header.position;
    return header.phase == search_phase::place ? place(packet, std::move(header), agent, now)
                                               : assign(packet, header, agent, now);
}

/// Continues the search in the next service of the flow's route. The route's targets or their weights may have changed
/// since the flow began. Returns false when no service is left.
bool flow_agent::search_next_service(const packet_info& packet, packet_header& header, const agent_snapshot& agent)
{
    const auto* const route = agent.table ? agent.table->destinations().find(packet.flow) : nullptr;
    if (route == nullptr)
        return false;
    mark_service_searched(header);
    const auto bucket = bucket_of_flow(packet.flow);
    for (const auto& it : unsearched_services(*route, header)) {
        const auto* const members = agent.table->find_chain(it, bucket);
        if (members == nullptr || members->members.empty())
            continue;
        reset_search(header, it, *members);
        header.hops = 0;
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
    reset_search(result, agent.service, agent.members->chain_of(bucket_of_flow(packet.flow)));
    const auto* const self = agent.members->find_member(agent.self);
    if (self == nullptr)
        return std::nullopt;
    result.position = find_or_add_member(result, {agent.self, self->target.packet_endpoint});
    return result;
}

packet_decision flow_agent::decide_returned(
    const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now)
{
    if (!is_addressed_to(header, agent))
        return dropped(packet_reason::foreign);
    flows_.erase(packet.flow);
    admission_.record_returned_packet(packet, now);
    auto next = header;
    next.asked |= 1U << header.position;
    if (may_start_flow(packet.kind))
        return limit_rejections(place_returned(packet, std::move(next), agent, now), packet, now);
    next.phase = search_phase::find;
    return limit_rejections(search(packet, std::move(next), agent, now), packet, now);
}

packet_decision flow_agent::handle_unknown_flow(const packet_info& packet, core::time_point now)
{
    return failed_searches_.record_failure(packet.flow, now) ? rejected(packet_reason::unknown_flow)
                                                             : dropped(packet_reason::unknown_flow);
}

/// Whether the watermark may be above the version of the header's table. Newer chains could lack the member of a flow
/// that began with that table.
bool flow_agent::uses_outdated_table(const packet_header& header, const agent_snapshot& agent) const
{
    return agent.members != nullptr && header.table < table_history_.oldest_in_use(agent.applied);
}

/// Restarts the search with the chain of this agent's table, as if a balancer with this table had sent the packet.
packet_decision flow_agent::search_own_chain(
    const packet_info& packet, packet_header header, const agent_snapshot& agent, core::time_point now)
{
    const auto& chain = agent.members->chain_of(bucket_of_flow(packet.flow));
    if (chain.members.empty())
        return rejected(packet_reason::no_capacity);
    header.table = agent.applied;
    reset_search(header, agent.service, chain);
    if (!is_addressed_to(header, agent)) {
        // Later packets that balancers send with the old table reach the flow through this entry.
        flows_.insert(packet, {header.chain.front(), header.table}, now);
        return forwarded(std::move(header), 0);
    }
    header.asked = 1;
    return search(packet, std::move(header), agent, now);
}

bool flow_agent::extend_search(
    const packet_info& packet, packet_header& header, const agent_snapshot& agent, core::time_point now)
{
    if (!agent.members || packet.kind == packet_kind::syn)
        return false;
    const auto bucket = bucket_of_flow(packet.flow);
    // Any datagram may begin a flow, so a search for its flow is extended only if the chain leaves out members that may
    // hold flows.
    if (packet.kind == packet_kind::datagram && !agent.members->chain_of(bucket).truncated)
        return false;
    const auto missing = members_missing_from(bucket, header, *agent.members);
    const bool is_full = header.chain.size() >= max_header_members;
    // The candidates at the front of the chain must stay for a datagram, which may begin a flow.
    if (missing.empty() || (is_full && packet.kind == packet_kind::datagram) || !search_extensions_.take(now))
        return false;
    if (is_full)
        begin_next_members(bucket, header, *agent.members);
    const auto n = std::min(max_header_members - header.chain.size(), missing.size());
    for (std::size_t i = 0; i < n; ++i)
        header.chain.push_back({missing[i].id, missing[i].packet_endpoint});
    return true;
}

void flow_agent::maintain(const agent_snapshot& agent, core::time_point now)
{
    if (agent.domain_out_of_service)
        flows_.clear();
    flows_.expire(now);
    admission_.maintain(agent, now);
    table_history_.record_applied(agent.applied, now);
}

void flow_agent::record_response(const packet_info& response, core::time_point now)
{
    admission_.record_response(response, now);
    if (response.kind == packet_kind::closing)
        flows_.close(response.flow, now);
}

core::version flow_agent::watermark(const agent_snapshot& agent, core::time_point now) const
{
    auto result = table_history_.oldest_in_use(agent.applied);
    if (const auto oldest_open = flows_.watermark())
        result = std::min(result, *oldest_open);
    // When the recovery window ends, packets of flows to adopt may still be in transit to this agent.
    return is_recovering(agent, now - table_history::max_table_lag) ? std::min(result, earliest_flow_version(agent))
                                                                    : result;
}

} // namespace ibisdyke::routing
