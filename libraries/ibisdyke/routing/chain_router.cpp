#include "ibisdyke/routing/chain_router.h"

#include "ibisdyke/routing/target_overflow.h"

#include <utility>

namespace ibisdyke::routing {

void chain_router::set_table(std::shared_ptr<const forwarding_table> table)
{
    table_ = std::move(table);
    reordered_chains_.clear();
}

bool chain_router::may_place(const packet_info& syn, const chain& bucket_chain, core::time_point::duration age)
{
    if (syn.is_first || syn.may_be_placed_twice)
        return true;
    return bucket_chain.candidates == bucket_chain.members.size() && age >= settled_after;
}

const std::optional<reordered_chain>& chain_router::find_reordered_chain(std::uint32_t service, std::uint16_t chain)
{
    const auto [it, is_new] = reordered_chains_.try_emplace({service, chain});
    if (is_new)
        it->second = reorder_by_reachability(table_->chains->services()[service]->chains()[chain], table_->unreachable);
    return it->second;
}

// The unreachable members are asked last. For a SYN they are not asked at all: if its flow had begun at one of them,
// the caller could not continue it.
std::optional<route> chain_router::select_reordered_chain(
    const packet_info& packet, std::uint32_t service, std::uint16_t chain)
{
    const auto& reordered = find_reordered_chain(service, chain);
    if (!reordered)
        return std::nullopt;
    const bool is_syn = packet.kind == packet_kind::syn;
    const bool is_placed = is_syn && (packet.is_first || packet.may_be_placed_twice);
    const auto phase = is_placed ? search_phase::place : search_phase::find;
    return route{service, reordered->members.members.front().packet_endpoint, &reordered->members, std::nullopt, phase,
        is_syn ? reordered->unreachable : 0};
}

/// Returns the index of a target that takes a new flow because the selected one has no members.
std::uint32_t chain_router::find_other_target(const flow_key& flow, std::uint32_t selected) const
{
    const auto& chains = *table_->chains;
    const auto target = select_other_target(chains, flow, {chains.services()[selected]->service().id});
    return target ? target->index : routing_table::no_service;
}

std::optional<route> chain_router::select(const packet_info& packet, core::time_point now)
{
    if (!table_)
        return std::nullopt;
    const auto& chains = *table_->chains;
    const auto bucket = bucket_of_flow(packet.flow);
    auto service = chains.find_destination(packet.flow);
    // The target that takes new flows may have no upstreams yet, while those of another one hold open flows.
    const bool has_members =
        service != routing_table::no_service && chains.services()[service]->first_endpoint(bucket) != nullptr;
    if (!has_members && !may_start_flow(packet.kind))
        service = chains.find_holder(packet.flow);
    else if (!has_members && packet.kind == packet_kind::syn && service != routing_table::no_service)
        service = find_other_target(packet.flow, service);
    if (service == routing_table::no_service)
        return std::nullopt;
    const auto& service_chains = *chains.services()[service];
    const auto index = service_chains.chain_index(bucket);
    const auto* const destination = service_chains.first_endpoint(bucket);
    if (destination == nullptr)
        return std::nullopt;
    if (!table_->unreachable.empty()) {
        if (const auto reordered = select_reordered_chain(packet, service, index))
            return reordered;
    }
    const auto& chain = service_chains.chains()[index];
    route result{service, *destination, &chain, index, search_phase::find};
    if (packet.kind == packet_kind::syn && may_place(packet, chain, now - table_->ages->since(service, bucket)))
        result.phase = search_phase::place;
    return result;
}

} // namespace ibisdyke::routing
