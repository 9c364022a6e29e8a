#include "ibisdyke/routing/consistent_hash_router.h"

#include "ibisdyke/routing/rendezvous.h"

#include <algorithm>

namespace ibisdyke::routing {

void consistent_hash_router::set_table(std::shared_ptr<const forwarding_table> table)
{
    table_ = std::move(table);
    rings_.clear();
    for (const auto& it : table_->chains->services())
        rings_.push_back(make_ring(it->service()));
}

consistent_hash_router::ring consistent_hash_router::make_ring(const service_members& service)
{
    ring result;
    for (const auto& it : service.members) {
        if (!it.eligible || !it.reachable)
            continue;
        const auto member_index = static_cast<std::uint32_t>(result.chains.size());
        result.chains.push_back({{it.target}, 1, false});
        for (std::uint32_t i = 0; i < points_per_member; ++i)
            result.points.emplace_back(rendezvous_score(i, it.target.id), member_index);
    }
    std::sort(result.points.begin(), result.points.end());
    return result;
}

std::optional<route> consistent_hash_router::select(const packet_info& packet, core::time_point /*now*/)
{
    if (!table_)
        return std::nullopt;
    const auto service = table_->chains->find_destination(packet.flow);
    if (service == routing_table::no_service || rings_[service].points.empty())
        return std::nullopt;
    const auto& points = rings_[service].points;
    const std::pair<std::uint64_t, std::uint32_t> position(hash_of(packet.flow), 0);
    auto it = std::lower_bound(points.begin(), points.end(), position);
    if (it == points.end())
        it = points.begin();
    const auto& chosen = rings_[service].chains[it->second];
    return route{service, chosen.members.front().packet_endpoint, &chosen, std::nullopt, search_phase::assign};
}

} // namespace ibisdyke::routing
