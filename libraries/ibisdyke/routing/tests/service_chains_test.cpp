#include "ibisdyke/routing/routing_table.h"
#include "ibisdyke/testing/simulated_hosts.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace ibisdyke;
using testing::simulated_hosts;

namespace {

std::vector<core::upstream_id> ids_of(const routing::chain& it)
{
    std::vector<core::upstream_id> result;
    for (const auto& member : it.members)
        result.push_back(member.id);
    return result;
}

bool has_member(const routing::chain& it, const core::upstream_id& id)
{
    const auto ids = ids_of(it);
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

const routing::chain& chain_of(const routing::routing_table& table, std::uint32_t bucket)
{
    return *table.find_chain(simulated_hosts::service, bucket);
}

} // namespace

// The change of one host must not move flows between other hosts.
TEST_CASE("a new host takes about its share of the buckets, and no bucket moves between other hosts")
{
    simulated_hosts hosts(9);
    const auto before = hosts.make_table();
    const auto added = hosts.add_host();
    const auto after = hosts.make_table();
    std::uint32_t moved = 0;
    for (std::uint32_t bucket = 0; bucket < routing::buckets_per_service; ++bucket) {
        const auto& old_first = chain_of(*before, bucket).members.front().id;
        const auto& new_first = chain_of(*after, bucket).members.front().id;
        if (old_first == new_first)
            continue;
        ++moved;
        CHECK(new_first == added);
    }
    CHECK(moved > 0);
    CHECK(moved < routing::buckets_per_service / 10 * 3 / 2);
}

// Balancers that learned the members in different orders must compute the same chains.
TEST_CASE("chains do not depend on the order of the members")
{
    simulated_hosts hosts(8);
    const auto original = hosts.make_table();
    std::reverse(hosts.members.begin(), hosts.members.end());
    const auto reversed = hosts.make_table();
    for (std::uint32_t bucket = 0; bucket < routing::buckets_per_service; ++bucket)
        CHECK(ids_of(chain_of(*original, bucket)) == ids_of(chain_of(*reversed, bucket)));
}

// A flow breaks when its host is in no chain any more. This could happen after a drain, or after a join that displaced
// the host from the candidates.
TEST_CASE("former candidates stay in the chain")
{
    simulated_hosts hosts(6);
    const auto before = hosts.make_table();
    hosts.end_eligibility(hosts.members[2].target.id);
    hosts.add_host();
    hosts.add_host();
    const auto after = hosts.make_table();
    for (std::uint32_t bucket = 0; bucket < routing::buckets_per_service; ++bucket) {
        const auto& now = chain_of(*after, bucket);
        CHECK(now.candidates == routing::max_candidates);
        for (const auto& it : chain_of(*before, bucket).members)
            CHECK(has_member(now, it.id));
    }
}

// A draining host must get no new flows, and a host that is gone must get no packets.
TEST_CASE("candidates are eligible, and all members of a chain are reachable")
{
    simulated_hosts hosts(6);
    const auto draining = hosts.members[0].target.id;
    const auto gone = hosts.members[1].target.id;
    hosts.end_eligibility(draining);
    hosts.end_eligibility(gone);
    hosts.find(gone).reachable = false;
    const auto table = hosts.make_table();
    bool holds_draining = false;
    for (std::uint32_t bucket = 0; bucket < routing::buckets_per_service; ++bucket) {
        const auto& chain = chain_of(*table, bucket);
        CHECK_FALSE(has_member(chain, gone));
        for (std::size_t i = 0; i < chain.candidates; ++i)
            CHECK(chain.members[i].id != draining);
        holds_draining = holds_draining || has_member(chain, draining);
    }
    CHECK(holds_draining);
}

// A host that took over flows while a failure domain was out must stay in the chain when the domain returns.
TEST_CASE("members that took over while others were out stay in the chain")
{
    simulated_hosts hosts(6);
    const auto first = hosts.members[0].target.id;
    const auto second = hosts.members[3].target.id;
    hosts.end_eligibility(first);
    hosts.end_eligibility(second);
    const auto during = hosts.make_table();
    hosts.begin_eligibility(first);
    hosts.begin_eligibility(second);
    const auto after = hosts.make_table();
    for (std::uint32_t bucket = 0; bucket < routing::buckets_per_service; ++bucket) {
        const auto& candidates = chain_of(*during, bucket);
        for (std::size_t i = 0; i < candidates.candidates; ++i)
            CHECK(has_member(chain_of(*after, bucket), candidates.members[i].id));
    }
}

// Chains must be limited in length, because the packet header contains them. A search needs to know when the limit left
// members out.
TEST_CASE("a chain is limited in length and marked when members are left out")
{
    simulated_hosts hosts(20);
    for (std::size_t i = 0; i < 14; ++i)
        hosts.end_eligibility(hosts.members[i].target.id);
    const auto table = hosts.make_table();
    const auto service = table->find_service(simulated_hosts::service);
    bool truncated = false;
    for (std::uint32_t bucket = 0; bucket < routing::buckets_per_service; ++bucket) {
        const auto& chain = service->chain_of(bucket);
        CHECK(chain.members.size() <= routing::max_chain_length);
        const auto ids = ids_of(chain);
        CHECK(std::set<core::upstream_id>(ids.begin(), ids.end()).size() == ids.size());
        CHECK(service->other_members(bucket, ids).size() == 20 - ids.size());
        truncated = truncated || chain.truncated;
    }
    CHECK(truncated);
}

// A service without hosts must not crash a balancer.
TEST_CASE("a service without members has empty chains")
{
    simulated_hosts hosts(0);
    const auto table = hosts.make_table();
    CHECK(chain_of(*table, 0).members.empty());
    CHECK(table->find_chain(core::service_id(99), 0) == nullptr);
}

// Rebuilding all services for one change would take seconds at the design size.
TEST_CASE("services that did not change are shared with the previous table")
{
    const routing::service_members one{core::service_id(1), "one", {}, {}};
    const routing::service_members two{core::service_id(2), "two", {}, {}};
    const auto before = routing::routing_table::create({1, 1}, {two, one}, nullptr);
    auto changed = two;
    changed.members.emplace_back();
    const auto after = routing::routing_table::create({1, 2}, {one, changed}, before);
    CHECK(after->services()[0] == before->services()[0]);
    CHECK(after->services()[1] != before->services()[1]);
}

// A packet must not go to a service with another address, port or protocol.
TEST_CASE("an address selects only its own service")
{
    std::vector<routing::service_members> services;
    for (std::uint32_t i = 0; i < 500; ++i) {
        routing::service_members it{core::service_id(i + 1), "service", {}, {}};
        it.addresses.push_back({{0x0a010000 + i, 443}, routing::ip_protocol::tcp});
        services.push_back(it);
    }
    const auto table = routing::routing_table::create({1, 1}, services, nullptr);
    for (std::uint32_t i = 0; i < 500; ++i) {
        routing::flow_key flow{0x0b000001, 0x0a010000 + i, 1234, 443, routing::ip_protocol::tcp};
        REQUIRE(table->find_destination(flow) == i);
        flow.protocol = routing::ip_protocol::udp;
        CHECK(table->find_destination(flow) == routing::routing_table::no_service);
        flow.protocol = routing::ip_protocol::tcp;
        flow.destination_port = 444;
        CHECK(table->find_destination(flow) == routing::routing_table::no_service);
    }
}
