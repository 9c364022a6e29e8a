#include "ibisdyke/routing/flow_search.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>

namespace ibisdyke::routing::detail {

namespace {

bool has_service(const flow_route& route, const core::service_id& service)
{
    const auto is_target = [&service](const auto& it) { return it.service == service; };
    return std::any_of(route.targets.begin(), route.targets.end(), is_target)
        || std::find(route.former_targets.begin(), route.former_targets.end(), service) != route.former_targets.end();
}

/// Whether new flows of the route may be placed in the service.
bool takes_new_flows(const flow_route& route, const core::service_id& service)
{
    return std::any_of(route.targets.begin(), route.targets.end(),
        [&service](const auto& it) { return it.service == service && it.weight > 0; });
}

bool member_was_asked(const packet_header& header, const core::upstream_id& id)
{
    const auto& chain = header.chain;
    const auto it = std::find_if(chain.begin(), chain.end(), [&id](const auto& known) { return known.id == id; });
    return it != chain.end() && was_asked(header, static_cast<std::uint32_t>(it - chain.begin()));
}

bool is_in_chain(const packet_header& header, const core::upstream_id& id)
{
    return std::any_of(header.chain.begin(), header.chain.end(), [&id](const auto& it) { return it.id == id; });
}

/// Returns how many members at the front of a list in search order were asked and have left the header.
std::size_t asked_before(const packet_header& header, const std::vector<chain_member>& order)
{
    return std::min<std::size_t>(header.search_offset, order.size());
}

/// Returns the members that may hold flows of the bucket in the order of the chain, then all other reachable ones by
/// rank. Agents with the same table search in the same order.
std::vector<chain_member> search_order(std::uint32_t bucket, const service_chains& members)
{
    auto result = members.holders(bucket);
    std::vector<core::upstream_id> used;
    used.reserve(result.size());
    for (const auto& it : result)
        used.push_back(it.id);
    const auto others = members.other_members(bucket, used);
    result.insert(result.end(), others.begin(), others.end());
    return result;
}

/// Whether all members that may hold the flow were asked without success.
bool all_holders_asked(const packet_info& packet, const packet_header& header, const agent_snapshot& agent)
{
    if (!agent.members)
        return false;
    const auto bucket = bucket_of_flow(packet.flow);
    const auto all_asked = [&header](const std::vector<chain_member>& members) {
        const auto first = members.begin() + static_cast<std::ptrdiff_t>(asked_before(header, members));
        return std::all_of(first, members.end(), [&header](const auto& it) { return member_was_asked(header, it.id); });
    };
    const auto& known = agent.members->chain_of(bucket);
    return all_asked(known.members) && (!known.truncated || all_asked(agent.members->holders(bucket)));
}

} // namespace

std::vector<core::service_id> possible_services(const flow_route& route)
{
    std::vector<core::service_id> result;
    for (const auto& it : route.targets)
        result.push_back(it.service);
    result.insert(result.end(), route.former_targets.begin(), route.former_targets.end());
    return result;
}

void mark_service_searched(packet_header& header)
{
    if (header.searched.size() < max_listed_services)
        header.searched.push_back(header.service);
    else
        header.searched_through = std::max(header.searched_through, header.service);
}

std::vector<core::service_id> unsearched_services(const flow_route& route, const packet_header& header)
{
    auto result = possible_services(route);
    std::erase_if(result, [&header](const auto& it) {
        return it <= header.searched_through
            || std::find(header.searched.begin(), header.searched.end(), it) != header.searched.end();
    });
    // Every search ends, even if agents have different tables: past the listed services, the ids only increase.
    if (header.searched.size() >= max_listed_services)
        std::sort(result.begin(), result.end());
    return result;
}

void reset_search(packet_header& header, const core::service_id& service, const chain& members)
{
    header.service = service;
    header.chain.clear();
    for (const auto& it : members.members)
        header.chain.push_back({it.id, it.packet_endpoint});
    header.candidates = static_cast<std::uint32_t>(members.candidates);
    header.position = 0;
    header.phase = search_phase::find;
    header.asked = 0;
    header.search_offset = 0;
    header.restarted.reset();
    header.recovery_left_ms = 0;
    header.fallback.reset();
    header.is_new = false;
}

bool is_addressed_to(const packet_header& header, const agent_snapshot& agent)
{
    return header.service == agent.service && header.position < header.chain.size()
        && header.chain[header.position].id == agent.self;
}

bool is_for_service(const packet_info& packet, const packet_header& header, const agent_snapshot& agent)
{
    if (!agent.members)
        return false;
    if (agent.table) {
        // The balancer's table is newer and may contain a route that this agent does not know yet.
        if (header.table > agent.applied)
            return true;
        const auto* const route = agent.table->destinations().find(packet.flow);
        if (route == nullptr)
            return false;
        return may_start_flow(packet.kind) ? takes_new_flows(*route, agent.service)
                                           : has_service(*route, agent.service);
    }
    const auto& flow = packet.flow;
    const public_address destination{{flow.destination_address, flow.destination_port}, flow.protocol};
    const auto& addresses = agent.members->service().addresses;
    return std::find(addresses.begin(), addresses.end(), destination) != addresses.end();
}

std::uint32_t find_or_add_member(packet_header& header, const header_member& target)
{
    auto& chain = header.chain;
    const auto it =
        std::find_if(chain.begin(), chain.end(), [&target](const auto& known) { return known.id == target.id; });
    if (it != chain.end())
        return static_cast<std::uint32_t>(it - chain.begin());
    if (chain.size() >= max_header_members) {
        chain.pop_back();
        header.asked &= ~(1U << chain.size());
    }
    chain.push_back(target);
    return static_cast<std::uint32_t>(chain.size() - 1);
}

bool was_asked(const packet_header& header, std::uint32_t position)
{
    return ((header.asked >> position) & 1U) != 0;
}

void mark_asked(packet_header& header, const core::upstream_id& id)
{
    const auto& chain = header.chain;
    const auto it = std::find_if(chain.begin(), chain.end(), [&id](const auto& known) { return known.id == id; });
    if (it != chain.end())
        header.asked |= 1U << static_cast<std::uint32_t>(it - chain.begin());
}

std::optional<std::uint32_t> next_unasked_candidate(const packet_header& header)
{
    const auto candidates = std::min<std::size_t>(header.candidates, header.chain.size());
    for (auto position = header.position + 1; position < candidates; ++position) {
        if (!was_asked(header, position))
            return position;
    }
    return std::nullopt;
}

std::optional<std::uint32_t> next_unasked_member(const packet_header& header)
{
    const auto n = static_cast<std::uint32_t>(header.chain.size());
    for (std::uint32_t i = 1; i < n; ++i) {
        const auto position = (header.position + i) % n;
        if (!was_asked(header, position))
            return position;
    }
    return std::nullopt;
}

bool may_hold(const header_member& target, const packet_header& header, const agent_snapshot& agent)
{
    const auto* const it = agent.members ? agent.members->find_member(target.id) : nullptr;
    // The agent's table does not contain a member that joined after it.
    if (it == nullptr)
        return true;
    // After the phase `find` no member knows the flow, so the target must be able to begin it.
    return it->reachable && (header.phase == search_phase::find || it->eligible);
}

core::version earliest_flow_version(const agent_snapshot& agent)
{
    const auto* const self = agent.members ? agent.members->find_member(agent.self) : nullptr;
    if (self == nullptr || self->history.empty())
        return {};
    // The flows of an earlier process of this agent began no earlier than the watermark that the earlier process
    // reported.
    return std::max(self->history.front().from, self->flow_watermark);
}

bool is_recovering(const agent_snapshot& agent, core::time_point now)
{
    return now < agent.recovering_until;
}

void offer_adoption(packet_header& header, const agent_snapshot& agent, core::time_point now)
{
    if (!is_recovering(agent, now) || agent.domain_out_of_service || agent.upstream_returns_packets)
        return;
    const auto left = std::chrono::duration_cast<core::milliseconds>(agent.recovering_until - now).count();
    const auto left_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(left, 1));
    if (header.restarted && header.recovery_left_ms >= left_ms)
        return;
    header.restarted = header.position;
    header.recovery_left_ms = left_ms;
}

void add_own_chain(packet_header& header, const packet_info& packet, const agent_snapshot& agent)
{
    if (!agent.members || header.table >= agent.applied)
        return;
    for (const auto& own : agent.members->chain_of(bucket_of_flow(packet.flow)).members) {
        const bool named =
            std::any_of(header.chain.begin(), header.chain.end(), [&own](const auto& it) { return it.id == own.id; });
        if (!named && header.chain.size() < max_header_members)
            header.chain.push_back({own.id, own.packet_endpoint});
    }
}

bool is_search_complete(
    const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now)
{
    return now < agent.table_current_until && all_holders_asked(packet, header, agent);
}

std::vector<chain_member> members_missing_from(
    std::uint32_t bucket, const packet_header& header, const service_chains& members)
{
    auto result = search_order(bucket, members);
    result.erase(result.begin(), result.begin() + static_cast<std::ptrdiff_t>(asked_before(header, result)));
    std::erase_if(result, [&header](const auto& it) { return is_in_chain(header, it.id); });
    return result;
}

void begin_next_members(std::uint32_t bucket, packet_header& header, const service_chains& members)
{
    const auto order = search_order(bucket, members);
    const auto asked = asked_before(header, order);
    auto offset = asked;
    while (offset < order.size() && is_in_chain(header, order[offset].id))
        ++offset;
    // Agents with different tables search in different orders. The search ends because the offset always grows.
    offset = std::max(offset, asked + 1);
    if (header.restarted && *header.restarted >= header.chain.size())
        header.restarted.reset();
    std::vector<header_member> kept{header.chain[header.position]};
    if (header.restarted && *header.restarted != header.position)
        kept.push_back(header.chain[*header.restarted]);
    if (header.restarted)
        header.restarted = static_cast<std::uint32_t>(kept.size() - 1);
    header.asked = (1U << kept.size()) - 1;
    header.chain = std::move(kept);
    header.position = 0;
    header.candidates = 0;
    header.fallback.reset();
    header.search_offset = static_cast<std::uint32_t>(offset);
    header.hops = 0;
}

bool begin_placement(packet_header& header)
{
    if (header.candidates == 0 || header.candidates > header.chain.size())
        return false;
    header.position = 0;
    header.asked = 0;
    header.phase = search_phase::place;
    header.is_new = true;
    return true;
}

} // namespace ibisdyke::routing::detail
