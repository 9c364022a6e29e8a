#include "ibisdyke/frontends/discovery/routing_input.h"
#include "ibisdyke/frontends/requests/record_holders.h"
#include "ibisdyke/membership/membership_change.h"
#include "ibisdyke/routing/routing_table.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using membership::upstream_state;

namespace {

const core::service_id desk(7);

dissemination::system_state joined_state(std::uint64_t hosts)
{
    dissemination::system_state it;
    configuration::service service;
    service.id = desk;
    service.name = "formula-desk";
    it.configuration.services[desk] = service;
    membership::membership_change joins;
    for (std::uint64_t i = 0; i < hosts; ++i) {
        membership::join added;
        added.service = desk;
        added.name = std::to_string(i);
        joins.joins.push_back(added);
    }
    it.applied = {1, 1};
    it.membership = membership::apply({}, joins, it.applied);
    return it;
}

dissemination::system_state changed(dissemination::system_state it, const membership::upstream_update& update)
{
    ++it.applied.index;
    it.membership = membership::apply(it.membership, {{}, {update}, {}, {}, {}}, it.applied);
    return it;
}

std::shared_ptr<const routing::routing_table> table_of(const dissemination::system_state& it)
{
    return routing::routing_table::create(it.applied, frontends::routing_input(it), nullptr);
}

} // namespace

// Guards against P7: a key that ran at a member which took over while the owner drained, and that runs again because
// the member's flows had ended before it died: flow watermarks say nothing of records.
TEST_CASE("a departed member's records count as lost although its flow watermark has passed them")
{
    constexpr std::uint64_t hosts = 5;
    const core::wall_time now(core::milliseconds(1'000'000));
    auto state = joined_state(hosts);
    const auto ids = [&] {
        std::vector<core::upstream_id> result;
        for (const auto& [id, it] : state.membership.upstreams)
            result.push_back(id);
        return result;
    }();
    frontends::record_holders witnesses(ids[0], desk);
    const auto take = [&](const dissemination::system_state& next) {
        state = next;
        witnesses.add_routes(table_of(state));
        witnesses.update(state, now);
    };
    take(state);
    membership::upstream_update update;
    update.id = ids[1];
    update.state = upstream_state::draining;
    take(changed(state, update));
    const auto during = table_of(state);
    update.state = upstream_state::active;
    take(changed(state, update));
    update.id = ids[2];
    update.flow_watermark = state.applied;
    take(changed(state, update));
    update.state = upstream_state::gone;
    update.proposed_at = now;
    take(changed(state, update));
    std::uint32_t held = 0;
    for (std::uint32_t bucket = 0; bucket < routing::buckets_per_service; ++bucket) {
        const auto& chain = *during->find_chain(desk, bucket);
        for (std::size_t i = 0; i < chain.candidates; ++i) {
            if (chain.members[i].id != ids[2])
                continue;
            ++held;
            CHECK(witnesses.lost_until(bucket) == now);
        }
    }
    CHECK(held > 0);
    CHECK(held < routing::buckets_per_service);
}
