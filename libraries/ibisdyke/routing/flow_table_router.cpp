#include "ibisdyke/routing/flow_table_router.h"

#include <utility>

namespace ibisdyke::routing {

flow_table_router::flow_table_router(const flow_limits& limits)
    : flows_(limits)
{
}

void flow_table_router::set_table(std::shared_ptr<const forwarding_table> table)
{
    table_ = std::move(table);
    targets_.clear();
    const auto& services = table_->chains->services();
    for (std::uint32_t i = 0; i < services.size(); ++i) {
        for (const auto& it : services[i]->service().members) {
            if (it.reachable)
                targets_[it.target.id] = {i, {{it.target}, 1, false}};
        }
    }
}

const flow_table_router::target* flow_table_router::choose(std::uint32_t service, const packet_info& packet) const
{
    const auto& chain = table_->chains->services()[service]->chain_of(bucket_of_flow(packet.flow));
    if (chain.candidates == 0)
        return nullptr;
    const auto* selected = &targets_.at(chain.members.front().id);
    // A packet that cannot start a flow belongs to a flow that another balancer assigned. It goes to the first member
    // of the chain. A new flow goes to the upstream with the fewest assigned flows.
    if (!may_start_flow(packet.kind))
        return selected;
    for (const auto& it : table_->chains->services()[service]->service().members) {
        const auto candidate = targets_.find(it.target.id);
        if (it.eligible && candidate != targets_.end()
            && assigned_flows(it.target.id) < assigned_flows(id_of(*selected)))
            selected = &candidate->second;
    }
    return selected;
}

std::size_t flow_table_router::assigned_flows(const core::upstream_id& id) const
{
    const auto it = assigned_flows_.find(id);
    return it == assigned_flows_.end() ? 0 : it->second;
}

std::optional<route> flow_table_router::select(const packet_info& packet, core::time_point now)
{
    if (!table_)
        return std::nullopt;
    const auto service = table_->chains->find_destination(packet.flow);
    if (service == routing_table::no_service)
        return std::nullopt;
    if (now - last_expiry_ >= expiry_interval) {
        flows_.expire(now);
        last_expiry_ = now;
    }
    if (const auto* const entry = flows_.touch(packet, now)) {
        const auto it = targets_.find(entry->redirect->id);
        if (it != targets_.end())
            return route{
                service, entry->redirect->packet_endpoint, &it->second.members, std::nullopt, search_phase::assign};
    }
    const auto* const chosen = choose(service, packet);
    if (chosen == nullptr)
        return std::nullopt;
    const auto& member = chosen->members.members.front();
    flows_.insert(packet, {header_member{member.id, member.packet_endpoint}, table_->chains->at()}, now);
    ++assigned_flows_[member.id];
    return route{service, member.packet_endpoint, &chosen->members, std::nullopt, search_phase::assign};
}

} // namespace ibisdyke::routing
