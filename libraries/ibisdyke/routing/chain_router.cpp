#include "ibisdyke/routing/chain_router.h"

#include <utility>

namespace ibisdyke::routing {

void chain_router::use(std::shared_ptr<const forwarding_table> table)
{
    table_ = std::move(table);
    detours_.clear();
}

bool chain_router::may_place(const packet_info& syn, const chain& members, core::time_point::duration age)
{
    if (syn.is_first)
        return true;
    return members.candidates == members.members.size() && age >= settled_after;
}

const std::optional<reordered_chain>& chain_router::detour_of(std::uint32_t service, std::uint16_t chain)
{
    const auto [it, is_new] = detours_.try_emplace({service, chain});
    if (is_new)
        it->second = reorder_by_reachability(table_->chains->services()[service]->chains()[chain], table_->unreachable);
    return it->second;
}

/// Sends the packet around the members that cannot be reached. They are asked last, but not for the flow of a SYN: had
/// it begun there, its caller would not get on with it.
std::optional<route> chain_router::select_detour(const packet_info& packet, std::uint32_t service, std::uint16_t chain)
{
    const auto& way = detour_of(service, chain);
    if (!way)
        return std::nullopt;
    const bool is_syn = packet.kind == packet_kind::syn;
    const auto phase = is_syn && packet.is_first ? search_phase::place : search_phase::find;
    return route{service, way->members.members.front().packet_endpoint, &way->members, std::nullopt, phase,
        is_syn ? way->unreachable : 0};
}

std::optional<route> chain_router::select(const packet_info& packet, core::time_point now)
{
    if (!table_)
        return std::nullopt;
    const auto& chains = *table_->chains;
    const auto service = chains.find_destination(packet.flow);
    if (service == routing_table::no_service)
        return std::nullopt;
    const auto bucket = bucket_of_flow(packet.flow);
    const auto& service_chains = *chains.services()[service];
    const auto index = service_chains.chain_index(bucket);
    const auto* const destination = service_chains.first_endpoint(bucket);
    if (destination == nullptr)
        return std::nullopt;
    if (!table_->unreachable.empty()) {
        if (const auto way = select_detour(packet, service, index))
            return way;
    }
    const auto& chain = service_chains.chains()[index];
    route result{service, *destination, &chain, index, search_phase::find};
    if (packet.kind == packet_kind::syn && may_place(packet, chain, now - table_->ages->since(service, bucket)))
        result.phase = search_phase::place;
    return result;
}

} // namespace ibisdyke::routing
