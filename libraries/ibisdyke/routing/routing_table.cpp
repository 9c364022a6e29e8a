#include "ibisdyke/routing/routing_table.h"

#include "ibisdyke/routing/flow_search.h"

#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ibisdyke::routing {

std::uint32_t bucket_of_key(std::string_view key)
{
    return static_cast<std::uint32_t>(XXH3_64bits(key.data(), key.size()) % buckets_per_service);
}

std::shared_ptr<const routing_table> routing_table::create(const core::version& at,
    const std::vector<service_members>& services, const std::shared_ptr<const routing_table>& previous,
    const route_set& routes)
{
    const std::shared_ptr<routing_table> result(new routing_table(at));
    for (const auto& it : services) {
        auto previous_chains = previous ? previous->find_service(it.id) : nullptr;
        const bool unchanged = previous_chains && previous_chains->service() == it;
        result->services_.push_back(unchanged ? std::move(previous_chains) : service_chains::create(it));
    }
    std::sort(result->services_.begin(), result->services_.end(),
        [](const auto& a, const auto& b) { return a->service().id < b->service().id; });
    std::vector<flow_route> all_routes;
    for (std::uint32_t i = 0; i < result->services_.size(); ++i) {
        for (const auto& it : result->services_[i]->service().addresses)
            all_routes.push_back({it, {{result->services_[i]->service().id, 1, i}}, {}});
    }
    for (const auto& it : routes.routes) {
        all_routes.push_back(it);
        for (auto& target : all_routes.back().targets)
            target.index = result->index_of(target.service);
    }
    result->destinations_ = destination_table(std::move(all_routes), routes.withdrawn);
    return result;
}

std::uint32_t routing_table::index_of(const core::service_id& service) const
{
    const auto it = std::lower_bound(services_.begin(), services_.end(), service,
        [](const auto& candidate, const auto& id) { return candidate->service().id < id; });
    if (it == services_.end() || (*it)->service().id != service)
        return no_service;
    return static_cast<std::uint32_t>(it - services_.begin());
}

std::shared_ptr<const service_chains> routing_table::find_service(const core::service_id& service) const
{
    const auto i = index_of(service);
    return i == no_service ? nullptr : services_[i];
}

const member* routing_table::find_member(const core::upstream_id& id) const
{
    for (const auto& it : services_) {
        if (const auto* const found = it->find_member(id))
            return found;
    }
    return nullptr;
}

const chain* routing_table::find_chain(const core::service_id& service, std::uint32_t bucket) const
{
    const auto i = index_of(service);
    return i == no_service ? nullptr : &services_[i]->chain_of(bucket);
}

std::uint32_t routing_table::find_destination(const flow_key& flow) const
{
    const auto* const target = destinations_.choose(flow);
    return target == nullptr ? no_service : target->index;
}

std::uint32_t routing_table::find_holder(const flow_key& flow) const
{
    const auto* const route = destinations_.find(flow);
    if (route == nullptr)
        return no_service;
    for (const auto& it : detail::possible_services(*route)) {
        const auto i = index_of(it);
        if (i != no_service && services_[i]->first_endpoint(bucket_of_flow(flow)) != nullptr)
            return i;
    }
    return no_service;
}

std::size_t routing_table::size_bytes() const
{
    std::size_t result = sizeof(*this) + destinations_.size_bytes();
    for (const auto& it : services_)
        result += sizeof(it) + it->size_bytes();
    return result;
}

} // namespace ibisdyke::routing
