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

dissemination::system_state with_update(dissemination::system_state it, const membership::upstream_update& update)
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

// A member takes over keys while their owner drains, and its flow watermark passes that time before it dies. Its
// records must still count as lost; otherwise the keys could run a second time (promise P7 of docs/promises.md).
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
    frontends::record_holders holders(ids[0], desk);
    const auto apply_state = [&](const dissemination::system_state& next) {
        state = next;
        holders.add_routes(table_of(state));
        holders.update(state, now);
    };
    apply_state(state);
    membership::upstream_update update;
    update.id = ids[1];
    update.state = upstream_state::draining;
    apply_state(with_update(state, update));
    const auto table_during_drain = table_of(state);
    update.state = upstream_state::active;
    apply_state(with_update(state, update));
    update.id = ids[2];
    update.flow_watermark = state.applied;
    apply_state(with_update(state, update));
    update.state = upstream_state::gone;
    update.proposed_at = now;
    apply_state(with_update(state, update));
    std::uint32_t held_buckets = 0;
    for (std::uint32_t bucket = 0; bucket < routing::buckets_per_service; ++bucket) {
        const auto& chain = *table_during_drain->find_chain(desk, bucket);
        for (std::size_t i = 0; i < chain.candidates; ++i) {
            if (chain.members[i].id != ids[2])
                continue;
            ++held_buckets;
            CHECK(holders.records_lost_until(bucket) == now);
        }
    }
    CHECK(held_buckets > 0);
    CHECK(held_buckets < routing::buckets_per_service);
}
