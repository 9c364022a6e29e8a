#include "ibisdyke/routing/flow_table_router.h"

#include <utility>

namespace ibisdyke::routing {

flow_table_router::flow_table_router(const flow_limits& limits)
    : flows_(limits)
{
}

void flow_table_router::use(std::shared_ptr<const forwarding_table> table)
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
    const auto* best = &targets_.at(chain.members.front().id);
    // A packet of a flow that another balancer began goes to the first of the ranking; a new one to the least used.
    if (!may_start_flow(packet.kind))
        return best;
    for (const auto& it : table_->chains->services()[service]->service().members) {
        const auto candidate = targets_.find(it.target.id);
        if (it.eligible && candidate != targets_.end() && given_to(it.target.id) < given_to(id_of(*best)))
            best = &candidate->second;
    }
    return best;
}

std::size_t flow_table_router::given_to(const core::upstream_id& id) const
{
    const auto it = given_.find(id);
    return it == given_.end() ? 0 : it->second;
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
    if (const auto* const known = flows_.touch(packet, now)) {
        const auto it = targets_.find(known->redirect->id);
        if (it != targets_.end())
            return route{
                service, known->redirect->packet_endpoint, &it->second.members, std::nullopt, search_phase::assign};
    }
    const auto* const chosen = choose(service, packet);
    if (chosen == nullptr)
        return std::nullopt;
    const auto& member = chosen->members.members.front();
    flows_.insert(packet, {header_member{member.id, member.packet_endpoint}, table_->chains->at()}, now);
    ++given_[member.id];
    return route{service, member.packet_endpoint, &chosen->members, std::nullopt, search_phase::assign};
}

} // namespace ibisdyke::routing
