#include "ibisdyke/routing/chain_router.h"
#include "ibisdyke/routing/consistent_hash_router.h"
#include "ibisdyke/routing/flow_table_router.h"
#include "ibisdyke/routing/router_kind.h"
#include "ibisdyke/testing/simulated_hosts.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace std::chrono_literals;
using routing::packet_kind;
using routing::search_phase;
using testing::simulated_hosts;

// Shortly after a change of the chain, the SYN may be a retransmission of one that was sent to another member. Placing
// the SYN without a search would then give its flow a second host.
TEST_CASE("the chain router places a SYN without a search only when the chain has long been unchanged")
{
    simulated_hosts hosts(4);
    for (auto& it : hosts.members)
        it.flow_watermark = hosts.current_version;
    routing::chain_router router;
    const auto packet = simulated_hosts::packet(1, packet_kind::syn);
    CHECK_FALSE(router.select(packet, hosts.now));
    auto table = routing::forwarding_table::create(hosts.make_table(), nullptr, hosts.now);
    router.set_table(table);
    CHECK(router.select(packet, hosts.now + 59s)->phase == search_phase::find);
    CHECK(router.select(packet, hosts.now + 60s)->phase == search_phase::place);
    CHECK(
        router.select(simulated_hosts::packet(1, packet_kind::segment), hosts.now + 60s)->phase == search_phase::find);
    CHECK(
        router.select(simulated_hosts::packet(1, packet_kind::datagram), hosts.now + 60s)->phase == search_phase::find);
    // A new version with the same chains does not restart the time; a new chain does.
    hosts.current_version.index += 1;
    table = routing::forwarding_table::create(hosts.make_table(), table, hosts.now + 60s);
    router.set_table(table);
    CHECK(router.select(packet, hosts.now + 60s)->phase == search_phase::place);
    const auto first = router.select(packet, hosts.now)->members->members.front().id;
    hosts.end_eligibility(first);
    table = routing::forwarding_table::create(hosts.make_table(), table, hosts.now + 70s);
    router.set_table(table);
    CHECK(router.select(packet, hosts.now + 71s)->phase == search_phase::find);
    // The drained host is still in the chain, so every SYN needs a search.
    CHECK(router.select(packet, hosts.now + 200s)->phase == search_phase::find);
}

TEST_CASE("all routers refuse a destination that is not the address of a service")
{
    simulated_hosts hosts(4);
    const auto table = routing::forwarding_table::create(hosts.make_table(), nullptr, hosts.now);
    routing::chain_router chains;
    routing::consistent_hash_router hashing;
    routing::flow_table_router flow_tables(routing::flow_limits{});
    auto packet = simulated_hosts::packet(1, packet_kind::syn);
    for (routing::router* it : std::initializer_list<routing::router*>{&chains, &hashing, &flow_tables}) {
        it->set_table(table);
        CHECK(it->select(packet, hosts.now));
        auto other = packet;
        other.flow.destination_port = 1;
        CHECK_FALSE(it->select(other, hosts.now));
    }
}

// A baseline must not profit from the search along chains, or the comparison is not fair. Its agent has to take every
// packet that arrives.
TEST_CASE("the baselines let the agent take every packet without a search")
{
    simulated_hosts hosts(4);
    const auto table = routing::forwarding_table::create(hosts.make_table(), nullptr, hosts.now);
    for (const auto kind : {routing::router_kind::consistent_hashing, routing::router_kind::flow_tables}) {
        const auto router = routing::create(kind);
        router->set_table(table);
        for (const auto packet : {packet_kind::syn, packet_kind::segment, packet_kind::datagram}) {
            const auto route = router->select(simulated_hosts::packet(1, packet), hosts.now);
            REQUIRE(route);
            CHECK(route->phase == search_phase::assign);
            CHECK(route->members->members.size() == 1);
        }
    }
}

TEST_CASE("each router's name is found")
{
    CHECK(routing::router_names().front() == "chains");
    for (const auto& it : routing::router_names())
        CHECK(routing::find_router(it));
    CHECK_FALSE(routing::find_router("random"));
}

// Balancers with a flow table keep open flows when members change. A baseline without this would be weaker than the
// method it represents.
TEST_CASE("the flow-table router keeps its flows when members change")
{
    simulated_hosts hosts(4);
    routing::flow_table_router router(routing::flow_limits{});
    auto table = routing::forwarding_table::create(hosts.make_table(), nullptr, hosts.now);
    router.set_table(table);
    std::vector<core::upstream_id> owners;
    for (std::uint32_t i = 0; i < 100; ++i) {
        const auto route = router.select(simulated_hosts::packet(i, packet_kind::syn), hosts.now);
        owners.push_back(route->members->members.front().id);
    }
    hosts.add_host();
    hosts.end_eligibility(hosts.members[0].target.id);
    table = routing::forwarding_table::create(hosts.make_table(), table, hosts.now);
    router.set_table(table);
    for (std::uint32_t i = 0; i < 100; ++i) {
        const auto route = router.select(simulated_hosts::packet(i, packet_kind::segment), hosts.now);
        CHECK(route->members->members.front().id == owners[i]);
    }
}
