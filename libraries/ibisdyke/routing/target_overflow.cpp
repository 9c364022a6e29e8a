#include "ibisdyke/routing/target_overflow.h"

#include "ibisdyke/routing/flow_search.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace ibisdyke::routing {

namespace {

bool contains(const std::vector<core::service_id>& services, const core::service_id& service)
{
    return std::find(services.begin(), services.end(), service) != services.end();
}

/// Whether the candidate can serve a request at once.
bool has_room(const target_fallback& it)
{
    return !it.load.failing && it.load.queue_per_mille == 0;
}

bool has_candidates(const routing_table& table, const core::service_id& service, const flow_key& flow)
{
    const auto* const members = table.find_chain(service, bucket_of_flow(flow));
    return members != nullptr && members->candidates > 0;
}

/// Returns the header of a packet that leaves the header's service for another one.
packet_header enter_service(
    const packet_header& header, const core::service_id& service, const chain& members, const core::version& table)
{
    auto result = header;
    result.offered.push_back(header.service);
    result.table = table;
    detail::reset_search(result, service, members);
    return result;
}

/// Whether the members of the chain need not be searched for the flow before it is placed.
bool can_place_at_once(const packet_info& syn, const chain& members)
{
    return syn.is_first || syn.may_be_placed_twice || members.candidates == members.members.size();
}

/// Returns the header with which the flow is offered to another target, or nothing if there is none.
std::optional<packet_header> offer_to_other_target(
    const packet_info& packet, const packet_header& header, const agent_snapshot& agent)
{
    auto excluded = header.offered;
    excluded.push_back(header.service);
    const auto target = select_other_target(*agent.table, packet.flow, excluded);
    if (!target || header.offered.size() >= max_offered_services)
        return std::nullopt;
    const auto& members = *agent.table->find_chain(target->service, bucket_of_flow(packet.flow));
    auto result = enter_service(header, target->service, members, agent.applied);
    result.phase = can_place_at_once(packet, members) ? search_phase::place : search_phase::find;
    if (!result.unanswering)
        return result;
    detail::mark_asked(result, *result.unanswering);
    if (!detail::was_asked(result, result.position))
        return result;
    const auto next = detail::next_unasked_candidate(result);
    if (!next)
        return std::nullopt;
    result.position = *next;
    return result;
}

/// Returns the candidate to return the flow to, if no target has room. The flow returns to the first target that would
/// queue it, because its weight entitles it to the flow, unless that candidate fails and a later one does not.
std::optional<target_fallback> prefer_earlier(
    const std::optional<target_fallback>& earlier, const std::optional<target_fallback>& later)
{
    if (!earlier || (later && earlier->load.failing && !later->load.failing))
        return later;
    return earlier;
}

/// The agent of the candidate checks the route in its own table, too, so a table that is out of date does no harm.
std::optional<overflow_decision> return_to_candidate(
    const packet_info& packet, const packet_header& header, const agent_snapshot& agent)
{
    const auto& to = *header.queueing_candidate;
    const auto* const route = agent.table->destinations().find(packet.flow);
    const bool is_target = route != nullptr
        && std::any_of(route->targets.begin(), route->targets.end(),
            [&to](const auto& it) { return it.service == to.service && it.weight > 0; });
    const auto* const members = agent.table->find_chain(to.service, bucket_of_flow(packet.flow));
    if (!is_target || members == nullptr)
        return std::nullopt;
    auto next = header;
    next.queueing_candidate.reset();
    next.table = agent.applied;
    detail::reset_search(next, to.service, *members);
    next.position = detail::find_or_add_member(next, to.member);
    next.phase = search_phase::assign;
    next.fallback = next.position;
    next.fallback_load = to.load;
    return overflow_decision{overflow_step::returned, std::move(next)};
}

/// Whether the agent's table may decide where the flow goes. A table that is older than the balancer's, or that no
/// control process has confirmed lately, may name a target that the route no longer has.
bool is_table_current(const packet_header& header, const agent_snapshot& agent, core::time_point now)
{
    return header.table <= agent.applied && now < agent.table_current_until;
}

} // namespace

std::optional<route_target> select_other_target(
    const routing_table& table, const flow_key& flow, const std::vector<core::service_id>& excluded)
{
    const auto* const route = table.destinations().find(flow);
    if (route == nullptr)
        return std::nullopt;
    std::vector<route_target> targets;
    std::uint64_t total = 0;
    for (const auto& it : route->targets) {
        if (it.weight == 0 || contains(excluded, it.service) || !has_candidates(table, it.service, flow))
            continue;
        targets.push_back(it);
        total += it.weight;
    }
    if (targets.empty())
        return std::nullopt;
    // The selection of the first target used the upper bits of the hash. Multiplying it by an odd number makes the
    // choice among the others independent of that.
    constexpr std::uint64_t multiplier = 0x9e37'79b9'7f4a'7c15;
    auto offset = ((hash_of(flow) * multiplier) >> 32U) % total;
    for (const auto& it : targets) {
        if (offset < it.weight)
            return it;
        offset -= it.weight;
    }
    return targets.back();
}

std::optional<overflow_decision> decide_overflow(const packet_info& packet, const packet_header& header,
    const agent_snapshot& agent, const candidate_answers& answers, core::time_point now)
{
    if (packet.kind != packet_kind::syn || !agent.table || (answers.best && has_room(*answers.best)))
        return std::nullopt;
    const auto best = prefer_earlier(header.queueing_candidate, answers.best);
    if (is_table_current(header, agent, now)) {
        if (auto next = offer_to_other_target(packet, header, agent)) {
            next->queueing_candidate = best;
            next->awaits_retransmission |= answers.awaits_retransmission;
            return overflow_decision{overflow_step::offered, *std::move(next)};
        }
    }
    if (!best || best == answers.best)
        return std::nullopt;
    return return_to_candidate(packet, header, agent);
}

std::optional<packet_header> follow_redirect_to_service(
    const packet_info& packet, const packet_header& header, const flow_entry& entry, const agent_snapshot& agent)
{
    const auto& service = *entry.redirect_service;
    const auto members = agent.table ? agent.table->find_service(service) : nullptr;
    const auto* const to = members ? members->find_member(entry.redirect->id) : nullptr;
    if (to == nullptr || !to->reachable || (header.phase == search_phase::place && !to->eligible))
        return std::nullopt;
    // A packet that has left a service returns there only in a search of all services, so that outdated entries of two
    // services cannot send it in circles.
    if (contains(header.offered, service) || contains(header.searched, service) || service <= header.searched_through
        || header.offered.size() >= max_offered_services)
        return std::nullopt;
    auto next = enter_service(header, service, members->chain_of(bucket_of_flow(packet.flow)), agent.applied);
    next.phase = header.phase;
    next.position = detail::find_or_add_member(next, *entry.redirect);
    return next;
}

bool is_in_other_target(const packet_header& header)
{
    return !header.offered.empty() && !contains(header.offered, header.service);
}

} // namespace ibisdyke::routing
