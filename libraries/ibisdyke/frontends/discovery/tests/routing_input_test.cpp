#include "ibisdyke/frontends/discovery/routing_input.h"
#include "ibisdyke/membership/membership_change.h"
#include "ibisdyke/routing/routing_table.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace ibisdyke;
using configuration::domain_state;
using membership::upstream_state;

namespace {

const core::service_id tested_service(7);
const core::failure_domain zone_a("zone-a");

membership::upstream make_upstream(std::uint64_t id, upstream_state state)
{
    membership::upstream it;
    it.id = core::upstream_id(id);
    it.service = tested_service;
    it.domain = zone_a;
    it.state = state;
    it.history = {{{1, 10}, core::version{1, 20}}, {{1, 30}, std::nullopt}};
    return it;
}

dissemination::system_state make_state()
{
    dissemination::system_state it;
    configuration::service service;
    service.id = tested_service;
    service.name = "formula-desk";
    service.addresses = {{{0x0a010101, 443}, configuration::transport_protocol::udp}};
    it.configuration.services[tested_service] = service;
    for (const auto state : {upstream_state::starting, upstream_state::active, upstream_state::draining,
             upstream_state::suspect, upstream_state::gone}) {
        const auto id = static_cast<std::uint64_t>(state);
        it.membership.upstreams[core::upstream_id(id)] = make_upstream(id, state);
    }
    return it;
}

routing::member find_member(const std::vector<routing::service_members>& services, upstream_state state)
{
    return services.at(0).members.at(static_cast<std::size_t>(state));
}

constexpr std::uint64_t host_count = 6;

membership::upstream_update update_of(std::uint64_t id, upstream_state state)
{
    membership::upstream_update it;
    it.id = core::upstream_id(id);
    it.state = state;
    return it;
}

/// A service with several hosts. Each change to it is a log record.
class recorded_service {
public:
    recorded_service()
    {
        state = make_state();
        state.membership = {};
        membership::membership_change joins;
        for (std::uint64_t i = 0; i < host_count; ++i) {
            membership::join it;
            it.service = tested_service;
            it.name = std::to_string(i);
            it.domain = zone_a;
            joins.joins.push_back(it);
        }
        record(joins);
        for (const auto& [id, it] : state.membership.upstreams)
            ids.push_back(id);
    }

    void record(const membership::membership_change& change)
    {
        ++state.applied.index;
        state.membership = membership::apply(state.membership, change, state.applied);
    }

    void change(std::size_t host, upstream_state to)
    {
        membership::membership_change it;
        it.updates.push_back(update_of(ids[host].value(), to));
        record(it);
    }

    std::shared_ptr<const routing::service_chains> chains() const
    {
        return routing::service_chains::create(frontends::routing_input(state).at(0));
    }

    dissemination::system_state state;
    std::vector<core::upstream_id> ids;
};

bool contains_member(const routing::chain& chain, const core::upstream_id& id)
{
    return std::any_of(
        chain.members.begin(), chain.members.end(), [&id](const auto& member) { return member.id == id; });
}

/// Counts the candidates in `earlier` that the chain of the same bucket in `later` does not contain.
std::uint32_t count_missing_candidates(const routing::service_chains& earlier, const routing::service_chains& later)
{
    std::uint32_t result = 0;
    for (std::uint32_t bucket = 0; bucket < routing::buckets_per_service; ++bucket) {
        const auto& former = earlier.chain_of(bucket);
        for (std::size_t i = 0; i < former.candidates; ++i)
            result += contains_member(later.chain_of(bucket), former.members[i].id) ? 0 : 1;
    }
    return result;
}

} // namespace

// A long-lived flow breaks when an upstream flaps so often that intervals of its history are merged and a chain then
// misses the holder of the flow. A merged interval must neither drop the flapping upstream, which holds flows itself,
// nor displace the upstream that accepted flows while the flapping upstream was away.
TEST_CASE("a merged history leaves no holder of a flow out of the chains")
{
    recorded_service service;
    std::vector<std::shared_ptr<const routing::service_chains>> past{service.chains()};
    for (int i = 0; i < 100; ++i) {
        service.change(0, upstream_state::draining);
        past.push_back(service.chains());
        // While both upstreams are draining, a bucket can have a candidate that it does not have at any other time.
        if (i == 3) {
            service.change(1, upstream_state::draining);
            past.push_back(service.chains());
            service.change(1, upstream_state::active);
        }
        service.change(0, upstream_state::active);
        past.push_back(service.chains());
    }
    const auto& flapping = service.state.membership.upstreams.at(service.ids[0]);
    REQUIRE(flapping.history.size() == 32);
    const auto active = service.chains();
    service.change(0, upstream_state::draining);
    const auto draining = service.chains();
    for (const auto& it : past) {
        CHECK(count_missing_candidates(*it, *active) == 0);
        CHECK(count_missing_candidates(*it, *draining) == 0);
    }
}

// Chains must drop past candidates once the agents have reported that they have no older open flows. A chain must still
// contain the only agent that has not reported a watermark.
TEST_CASE("recorded watermarks shorten the chains of new flows to their candidates")
{
    recorded_service service;
    service.change(0, upstream_state::draining);
    service.change(0, upstream_state::active);
    const auto longest = [](const routing::service_chains& it) {
        std::size_t result = 0;
        for (const auto& chain : it.chains())
            result = std::max(result, chain.members.size());
        return result;
    };
    CHECK(longest(*service.chains()) > routing::max_candidates);
    const auto before = service.chains();
    membership::membership_change change;
    for (std::size_t i = 0; i + 1 < host_count; ++i) {
        change.updates.push_back(update_of(service.ids[i].value(), upstream_state::active));
        change.updates.back().flow_watermark = service.state.applied;
    }
    service.record(change);
    const auto after = service.chains();
    for (std::uint32_t bucket = 0; bucket < routing::buckets_per_service; ++bucket) {
        const auto& chain = after->chain_of(bucket);
        const bool held_by_last = contains_member(before->chain_of(bucket), service.ids.back());
        if (!held_by_last)
            CHECK(chain.members.size() == chain.candidates);
        else if (!contains_member(chain, service.ids.back()))
            FAIL("the chain lacks the upstream without a watermark");
    }
}

// New flows must not go to upstreams that cannot accept them, and a drain must not break open flows. A service must
// keep upstreams for new flows when the control group has lost contact with all of them.
TEST_CASE("only active and suspect upstreams are eligible and all but gone ones reachable")
{
    const auto services = frontends::routing_input(make_state());
    REQUIRE(services.size() == 1);
    CHECK(services[0].name == "formula-desk");
    CHECK(services[0].addresses[0].protocol == routing::ip_protocol::udp);
    for (const auto state : {upstream_state::starting, upstream_state::active, upstream_state::draining,
             upstream_state::suspect, upstream_state::gone}) {
        const bool eligible = state == upstream_state::active || state == upstream_state::suspect;
        CHECK(find_member(services, state).eligible == eligible);
        CHECK(find_member(services, state).reachable == (state != upstream_state::gone));
    }
}

// No packets may be sent to a failure domain that is out (promise P4 of docs/promises.md).
TEST_CASE("upstreams of a failure domain that is out are neither eligible nor reachable")
{
    auto state = make_state();
    state.configuration.domains[zone_a] = {zone_a, domain_state::out, {{{0, 0}, core::version{1, 40}}}};
    const auto it = find_member(frontends::routing_input(state), upstream_state::active);
    CHECK_FALSE(it.eligible);
    CHECK_FALSE(it.reachable);
}

// Chains must contain the hosts that accepted flows while another failure domain was out. They would be missing if the
// history of the members in that domain included this time.
TEST_CASE("a member's history leaves out the time in which its failure domain was out")
{
    auto state = make_state();
    state.configuration.domains[zone_a] = {
        zone_a, domain_state::in, {{{0, 0}, core::version{1, 15}}, {{1, 18}, core::version{1, 40}}, {{1, 50}, {}}}};
    const std::vector<core::version_interval> expected{
        {{1, 10}, core::version{1, 15}},
        {{1, 18}, core::version{1, 20}},
        {{1, 30}, core::version{1, 40}},
        {{1, 50}, std::nullopt},
    };
    CHECK(find_member(frontends::routing_input(state), upstream_state::active).history == expected);
    state.configuration.domains.clear();
    CHECK(find_member(frontends::routing_input(state), upstream_state::active).history.size() == 2);
}
