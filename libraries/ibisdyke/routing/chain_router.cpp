#include "ibisdyke/routing/chain_router.h"

#include <utility>

namespace ibisdyke::routing {

void chain_router::use(std::shared_ptr<const forwarding_table> table)
{
    table_ = std::move(table);
}

bool chain_router::may_place(const packet_facts& syn, const chain& members, core::time_point::duration age)
{
    if (syn.is_first)
        return true;
    return members.candidates == members.members.size() && age >= settled_after;
}

std::optional<route> chain_router::select(const packet_facts& packet, core::time_point now)
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
    const auto& chain = service_chains.chains()[index];
    route result{service, *destination, &chain, index, search_phase::find};
    if (packet.kind == packet_kind::syn && may_place(packet, chain, now - table_->ages->since(service, bucket)))
        result.phase = search_phase::place;
    return result;
}

} // namespace ibisdyke::routing
