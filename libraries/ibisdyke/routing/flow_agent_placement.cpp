// The decisions of flow_agent about packets whose flow no member knows: which candidate begins or adopts the flow.

#include "ibisdyke/routing/flow_agent.h"
#include "ibisdyke/routing/flow_search.h"
#include "ibisdyke/routing/make_decision.h"
#include "ibisdyke/routing/target_overflow.h"

#include <algorithm>
#include <utility>

namespace ibisdyke::routing {

namespace {

using detail::begin_placement;
using detail::dropped;
using detail::earliest_flow_version;
using detail::forwarded;
using detail::is_addressed_to;
using detail::next_unasked_candidate;
using detail::rejected;

} // namespace

/// Offers a new flow to the other candidates after the upstream has refused it.
packet_decision flow_agent::place_returned(
    const packet_info& packet, packet_header header, const agent_snapshot& agent, core::time_point now)
{
    // In phase `find` the packet was delivered because the flow was known here, but the upstream has lost the flow. The
    // packet is offered to all candidates as the first one of a new flow.
    if (header.phase == search_phase::find && !begin_placement(header))
        return rejected(packet_reason::no_capacity);
    if (header.hops >= max_hops || header.phase == search_phase::assign)
        return rejected(packet_reason::no_capacity);
    if (!is_addressed_to(header, agent)) {
        const auto position = header.position;
        return forwarded(std::move(header), position);
    }
    return place(packet, std::move(header), agent, now);
}

packet_decision flow_agent::place(
    const packet_info& packet, packet_header header, const agent_snapshot& agent, core::time_point now)
{
    if (!may_start_flow(packet.kind))
        return handle_unknown_flow(packet, now);
    if (uses_outdated_table(header, agent))
        return search_own_chain(packet, std::move(header), agent, now);
    const auto refusal = admission_.refusal_reason(packet, agent, flows_.open_flows(), now);
    const bool admitted = !refusal;
    const auto next_candidate = next_unasked_candidate(header);
    const bool is_last = !next_candidate;
    const auto own = load(now);
    // A caller who has retransmitted its SYN has waited already. Its flow is not passed on for balance alone or because
    // of a start, as the next candidate may not be there either.
    const bool is_balanced = own.open_flows <= agent.admission.mean_open_flows + 1 || packet.syn_retransmissions > 0;
    const bool is_free = own.queue_per_mille == 0 || (packet.syn_retransmissions > 0 && is_start_limited(now));
    const bool has_room = !own.failing && is_free && is_balanced;
    // The admitted candidate with the least load is the fallback. The last candidate is asked only after no other had
    // room, so it takes the flow if there is no fallback or the fallback has more load.
    const bool is_best = !header.fallback || own < header.fallback_load;
    if (is_last && !(admitted && has_room)) {
        const auto own_load = admitted && is_best ? std::optional(own) : std::nullopt;
        if (auto next = leave_service(packet, header, agent, own_load, refusal, now))
            return *std::move(next);
    }
    if (admitted && (has_room || (is_last && is_best))) {
        auto taken = begin_flow(packet, header, agent, now);
        if (taken.action == packet_action::place)
            return taken;
    } else if (admitted && is_best) {
        header.fallback = header.position;
        header.fallback_load = own;
    }
    if (next_candidate)
        return forward_new_flow(packet, std::move(header), *next_candidate, search_phase::place, now);
    if (header.fallback && *header.fallback < header.position) {
        const auto next = *header.fallback;
        return forward_new_flow(packet, std::move(header), next, search_phase::assign, now);
    }
    return refuse_new_flow(packet, header, refusal.value_or(packet_reason::no_capacity), now);
}

/// Refuses a new flow that no candidate can take.
packet_decision flow_agent::refuse_new_flow(
    const packet_info& packet, const packet_header& header, packet_reason reason, core::time_point now) const
{
    const bool awaits = header.awaits_retransmission || admission_.should_await_retransmission(packet, reason, now);
    return awaits ? dropped(reason) : rejected(reason);
}

/// Offers a new flow that no candidate of this service has room for to another target of its route. `own` is the load
/// of this agent if it is the best candidate. Returns nothing if the flow stays in this service.
std::optional<packet_decision> flow_agent::leave_service(const packet_info& packet, const packet_header& header,
    const agent_snapshot& agent, const std::optional<upstream_load>& own, const std::optional<packet_reason>& refusal,
    core::time_point now)
{
    candidate_answers answers;
    if (own)
        answers.best = target_fallback{agent.service, header.chain[header.position], *own};
    else if (header.fallback && *header.fallback < header.chain.size())
        answers.best = target_fallback{agent.service, header.chain[*header.fallback], header.fallback_load};
    answers.awaits_retransmission = refusal && admission_.should_await_retransmission(packet, *refusal, now);
    auto decided = decide_overflow(packet, header, agent, answers, now);
    if (!decided)
        return std::nullopt;
    auto& next = decided->next;
    const auto position = next.position;
    // The redirect entry leads later packets of the flow to the other service without a search.
    flows_.insert(packet, {next.chain[position], next.table, next.service}, now);
    auto result = forwarded(std::move(next), position);
    result.overflow = decided->step;
    return result;
}

/// Returns why the flow cannot be assigned to this agent. A flow that the candidates have passed back must be answered
/// in time. Any other one was not offered elsewhere, so only the limits apply.
std::optional<packet_reason> flow_agent::assignment_refusal(
    const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now)
{
    if (header.fallback)
        return admission_.assignment_refusal_reason(packet, agent, flows_.open_flows(), now);
    const bool is_within_limits = admission_.is_within_limits(agent.admission, flows_.open_flows(), now);
    return is_within_limits ? std::nullopt : std::optional(packet_reason::no_capacity);
}

packet_decision flow_agent::assign(
    const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now)
{
    if (agent.domain_out_of_service)
        return rejected(packet_reason::domain_out);
    if (!may_start_flow(packet.kind)) {
        // The flow is open, so only max_open_flows applies. The flow may be as old as the upstream.
        if (flows_.open_flows() >= agent.admission.max_open_flows)
            return rejected(packet_reason::no_capacity);
        if (!flows_.insert(packet, {std::nullopt, earliest_flow_version(agent)}, now))
            return rejected(packet_reason::table_full);
        return {packet_action::adopt, packet_reason::none, std::nullopt};
    }
    if (uses_outdated_table(header, agent))
        return search_own_chain(packet, header, agent, now);
    const auto refusal = assignment_refusal(packet, header, agent, now);
    if (!refusal)
        return begin_flow(packet, header, agent, now);
    if (*refusal != packet_reason::no_capacity)
        return refuse_new_flow(packet, header, *refusal, now);
    // If a restarted member cannot take a datagram, the candidates may begin the flow.
    auto placed = header;
    placed.restarted.reset();
    if (!header.restarted || header.fallback || !begin_placement(placed))
        return rejected(packet_reason::no_capacity);
    if (is_addressed_to(placed, agent))
        return place(packet, std::move(placed), agent, now);
    return forwarded(std::move(placed), 0);
}

packet_decision flow_agent::forward_new_flow(
    const packet_info& packet, packet_header header, std::uint32_t position, search_phase phase, core::time_point now)
{
    // The redirect entry leads retransmissions and later packets of the flow to the member that takes it. If the table
    // is full, a search finds the member.
    flows_.insert(packet, {header.chain[position], header.table, std::nullopt, phase == search_phase::assign}, now);
    header.phase = phase;
    return forwarded(std::move(header), position);
}

packet_decision flow_agent::begin_flow(
    const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now)
{
    const auto began = std::min(header.table, agent.applied);
    if (!flows_.insert(packet, {std::nullopt, began}, now))
        return rejected(packet_reason::table_full);
    admission_.record_new_flow(packet.flow, now);
    return {packet_action::place, packet_reason::none, std::nullopt,
        is_in_other_target(header) ? overflow_step::taken : overflow_step::none};
}

} // namespace ibisdyke::routing
