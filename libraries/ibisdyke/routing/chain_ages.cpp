#include "ibisdyke/routing/chain_ages.h"

#include "ibisdyke/routing/service_cursor.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace ibisdyke::routing {

namespace {

/// Returns whether two chains have the same upstreams in the same order. Compares ids only, because a restarted agent
/// keeps its upstream id.
bool same_upstreams(const chain& a, const chain& b)
{
    return a.candidates == b.candidates
        && std::equal(a.members.begin(), a.members.end(), b.members.begin(), b.members.end(),
            [](const auto& left, const auto& right) { return left.id == right.id; });
}

} // namespace

std::shared_ptr<const chain_ages> chain_ages::create(const routing_table& table,
    const std::shared_ptr<const chain_ages>& previous, const std::shared_ptr<const routing_table>& previous_table,
    core::time_point now)
{
    const auto result = std::make_shared<chain_ages>();
    service_cursor previous_services(previous_table.get());
    for (const auto& it : table.services()) {
        const auto previous_index = previous_services.find(it->service().id);
        if (previous_index && previous_table->services()[*previous_index] == it) {
            result->services_.push_back(previous->services_[*previous_index]);
            continue;
        }
        auto ages = std::make_shared<service_ages>();
        ages->fill(now);
        for (std::uint32_t bucket = 0; previous_index && bucket < buckets_per_service; ++bucket) {
            if (same_upstreams(it->chain_of(bucket), previous_table->services()[*previous_index]->chain_of(bucket)))
                (*ages)[bucket] = (*previous->services_[*previous_index])[bucket];
        }
        result->services_.push_back(std::move(ages));
    }
    return result;
}

} // namespace ibisdyke::routing
