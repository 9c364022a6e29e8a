#include "ibisdyke/frontends/discovery/routing_input.h"
#include "ibisdyke/membership/membership_change.h"
#include "ibisdyke/routing/routing_table.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace ibisdyke;
using configuration::domain_state;
using membership::upstream_state;

namespace {

const core::service_id desk(7);
const core::failure_domain zone_a("zone-a");

membership::upstream make_upstream(std::uint64_t id, upstream_state state)
{
    membership::upstream it;
    it.id = core::upstream_id(id);
    it.service = desk;
    it.domain = zone_a;
    it.state = state;
    it.history = {{{1, 10}, core::version{1, 20}}, {{1, 30}, std::nullopt}};
    return it;
}

dissemination::system_state make_state()
{
    dissemination::system_state it;
    configuration::service service;
    service.id = desk;
    service.name = "formula-desk";
    service.addresses = {{{0x0a010101, 443}, configuration::transport_protocol::udp}};
    it.configuration.services[desk] = service;
    for (const auto state : {upstream_state::starting, upstream_state::active, upstream_state::draining,
             upstream_state::suspect, upstream_state::gone}) {
        const auto id = static_cast<std::uint64_t>(state);
        it.membership.upstreams[core::upstream_id(id)] = make_upstream(id, state);
    }
    return it;
}

routing::member find(const std::vector<routing::service_members>& services, upstream_state state)
{
    return services.at(0).members.at(static_cast<std::size_t>(state));
}

constexpr std::uint64_t hosts = 6;

membership::upstream_update update_of(std::uint64_t id, upstream_state state)
{
    membership::upstream_update it;
    it.id = core::upstream_id(id);
    it.state = state;
    return it;
}

/// A service of several hosts whose changes are log records.
class recorded_service {
public:
    recorded_service()
    {
        state = make_state();
        state.membership = {};
        membership::membership_change joins;
        for (std::uint64_t i = 0; i < hosts; ++i) {
            membership::join it;
            it.service = desk;
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

bool names(const routing::chain& chain, const core::upstream_id& id)
{
    return std::any_of(
        chain.members.begin(), chain.members.end(), [&id](const auto& member) { return member.id == id; });
}

/// Counts the buckets whose chain lacks a member that was a candidate in `then`.
std::uint32_t buckets_without_candidate(const routing::service_chains& then, const routing::service_chains& now)
{
    std::uint32_t result = 0;
    for (std::uint32_t bucket = 0; bucket < routing::buckets_per_service; ++bucket) {
        const auto& former = then.chain_of(bucket);
        for (std::size_t i = 0; i < former.candidates; ++i)
            result += names(now.chain_of(bucket), former.members[i].id) ? 0 : 1;
    }
    return result;
}

} // namespace

// Guards against a long-lived flow that breaks because its upstream, or one that was away when the flow began, has
// flapped so often that its history was merged: a merged interval must neither lose the flapping upstream's own flows
// nor put it in the place of the upstream that took flows in a gap.
TEST_CASE("a merged history leaves no holder of a flow out of the chains")
{
    recorded_service service;
    std::vector<std::shared_ptr<const routing::service_chains>> past{service.chains()};
    for (int i = 0; i < 100; ++i) {
        service.change(0, upstream_state::draining);
        past.push_back(service.chains());
        // While both are away, a bucket may have a candidate that it has at no other time.
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
        CHECK(buckets_without_candidate(*it, *active) == 0);
        CHECK(buckets_without_candidate(*it, *draining) == 0);
    }
}

// Guards against chains that keep every past candidate although the agents have reported that no older flow is open,
// and against a chain that leaves out the one agent that has reported nothing.
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
    for (std::size_t i = 0; i + 1 < hosts; ++i) {
        change.updates.push_back(update_of(service.ids[i].value(), upstream_state::active));
        change.updates.back().flow_watermark = service.state.applied;
    }
    service.record(change);
    const auto after = service.chains();
    for (std::uint32_t bucket = 0; bucket < routing::buckets_per_service; ++bucket) {
        const auto& chain = after->chain_of(bucket);
        const bool held_by_last = names(before->chain_of(bucket), service.ids.back());
        if (!held_by_last)
            CHECK(chain.members.size() == chain.candidates);
        else if (!names(chain, service.ids.back()))
            FAIL("the chain lacks the upstream without a watermark");
    }
}

// Guards against new flows on upstreams that cannot take them, against open flows that are cut off by a drain, and
// against a service without any upstream for new flows when the control group is cut off from all of them.
TEST_CASE("only active and suspect upstreams are eligible and all but gone ones reachable")
{
    const auto services = frontends::routing_input(make_state());
    REQUIRE(services.size() == 1);
    CHECK(services[0].name == "formula-desk");
    CHECK(services[0].addresses[0].protocol == routing::ip_protocol::udp);
    for (const auto state : {upstream_state::starting, upstream_state::active, upstream_state::draining,
             upstream_state::suspect, upstream_state::gone}) {
        const bool eligible = state == upstream_state::active || state == upstream_state::suspect;
        CHECK(find(services, state).eligible == eligible);
        CHECK(find(services, state).reachable == (state != upstream_state::gone));
    }
}

// Guards against P4: packets to a failure domain that is out.
TEST_CASE("upstreams of a failure domain that is out are neither eligible nor reachable")
{
    auto state = make_state();
    state.configuration.domains[zone_a] = {zone_a, domain_state::out, {{{0, 0}, core::version{1, 40}}}};
    const auto it = find(frontends::routing_input(state), upstream_state::active);
    CHECK_FALSE(it.eligible);
    CHECK_FALSE(it.reachable);
}

// Guards against a host that took over flows while others' failure domain was out and that chains then miss.
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
    CHECK(find(frontends::routing_input(state), upstream_state::active).history == expected);
    state.configuration.domains.clear();
    CHECK(find(frontends::routing_input(state), upstream_state::active).history.size() == 2);
}
