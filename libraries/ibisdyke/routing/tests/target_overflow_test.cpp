#include "ibisdyke/routing/chain_router.h"
#include "ibisdyke/routing/flow_search.h"
#include "ibisdyke/routing/target_overflow.h"
#include "ibisdyke/routing/wire/codec.h"
#include "ibisdyke/testing/simulated_hosts.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>

using namespace ibisdyke;
using namespace std::chrono_literals;
using routing::overflow_step;
using routing::packet_action;
using routing::packet_kind;
using routing::packet_reason;
using routing::search_phase;
using testing::simulated_hosts;

namespace {

constexpr std::uint32_t slots = 2;
constexpr auto service_time = 24ms;
constexpr routing::public_address route_address{
    {simulated_hosts::address, simulated_hosts::port}, routing::ip_protocol::tcp};

/// The hosts of two services behind one route, with the decision code of the real balancer and agents.
class split_route {
public:
    static inline const core::service_id large{1};
    static inline const core::service_id small{2};

    split_route(std::size_t large_hosts, std::size_t small_hosts)
        : services{{large, "large", make_members(large_hosts), {}}, {small, "small", make_members(small_hosts), {}}}
    {
        set_weights(1, 1);
    }

    /// Applies a new version in which the targets have these weights, at all agents and the balancer.
    void set_weights(std::uint32_t weight_of_large, std::uint32_t weight_of_small)
    {
        ++version_.index;
        routing::flow_route route{
            route_address, {{large, weight_of_large}, {small, weight_of_small}}, {}, /*latency_target=*/100ms};
        if (is_small_former) {
            route.targets.pop_back();
            route.former_targets = {small};
        }
        table = routing::routing_table::create(version_, services, nullptr, {{route}, {}});
        router_.set_table(routing::forwarding_table::create(table, nullptr, now));
    }

    routing::flow_agent& agent(const core::upstream_id& id)
    {
        return agents.try_emplace(id, routing::flow_limits{}, 100, routing::rejection_limits{}).first->second;
    }

    core::service_id service_of(const core::upstream_id& id) const
    {
        return table->find_service(large)->find_member(id) != nullptr ? large : small;
    }

    routing::agent_snapshot snapshot_of(const core::upstream_id& id) const
    {
        routing::agent_snapshot result;
        result.self = id;
        result.service = service_of(id);
        result.applied = table->at();
        result.table = table;
        result.members = table->find_service(result.service);
        result.table_current_until = are_tables_current ? now + 1s : now;
        result.upstream_returns_packets = true;
        result.admission.slots = slots;
        result.admission.mean_open_flows = 1000;
        result.admission.accepts_new_flows = !draining.contains(result.service);
        result.domain_out_of_service = out_of_service.contains(result.service);
        return result;
    }

    static routing::packet_info packet(std::uint32_t caller, packet_kind kind, std::uint32_t syn_retransmissions = 0)
    {
        auto result = simulated_hosts::packet(caller, kind);
        result.may_be_placed_twice = kind == packet_kind::syn;
        result.syn_retransmissions = syn_retransmissions;
        result.has_data = kind == packet_kind::segment;
        return result;
    }

    /// Sends the packet through the balancer and the agents.
    testing::packet_outcome send(const routing::packet_info& packet)
    {
        const auto selected = router_.select(packet, now);
        REQUIRE(selected);
        routing::packet_header header;
        header.table = table->at();
        routing::detail::reset_search(header, table->services()[selected->service]->service().id, *selected->members);
        header.phase = selected->phase;
        steps.clear();
        for (std::uint32_t visits = 1; visits < 100; ++visits) {
            const auto id = header.chain[header.position].id;
            if (crashed.contains(id))
                return {packet_action::drop, packet_reason::none, id, visits};
            auto decision = agent(id).decide(packet, header, snapshot_of(id), now);
            steps.insert(decision.overflow);
            if (decision.action != packet_action::forward)
                return {decision.action, decision.reason, id, visits};
            // Agents exchange the encoded header.
            header = routing::wire::decode_packet_header(routing::wire::encode(*decision.next));
        }
        FAIL("the packet circles between agents");
        return {};
    }

    /// Gives each host of the service this many requests without a response.
    void load(const core::service_id& service, std::uint32_t requests)
    {
        for (const auto& it : services[service == large ? 0 : 1].members) {
            for (std::uint32_t i = 0; i < requests; ++i) {
                const auto syn = packet(1'000'000 + i, packet_kind::syn);
                auto header = *routing::flow_agent::make_header(syn, snapshot_of(it.target.id));
                header.phase = search_phase::assign;
                agent(it.target.id).decide(syn, header, snapshot_of(it.target.id), now);
            }
        }
    }

    /// Returns the first caller whose flows the weights give to the service.
    std::uint32_t caller_of(const core::service_id& service) const
    {
        std::uint32_t caller = 1;
        while (table->destinations().choose(packet(caller, packet_kind::syn).flow)->service != service)
            ++caller;
        return caller;
    }

    std::vector<routing::member> make_members(std::size_t n)
    {
        std::vector<routing::member> result(n);
        for (auto& it : result) {
            it.target.id = core::upstream_id(++last_upstream);
            it.target.packet_endpoint = {0x0a000000 + static_cast<std::uint32_t>(last_upstream), 7000};
            it.eligible = true;
            it.reachable = true;
            it.history = {{{1, 1}, std::nullopt}};
        }
        return result;
    }

    std::uint64_t last_upstream = 0;
    /// Changes apply with the next call of set_weights().
    std::vector<routing::service_members> services;
    std::shared_ptr<const routing::routing_table> table;
    /// An agent that is removed here has restarted: it loses its flows and redirect entries.
    std::map<core::upstream_id, routing::flow_agent> agents;
    core::time_point now{100s};
    bool are_tables_current = true;
    /// Whether the small service is only a former target of the route. Applies with the next call of set_weights().
    bool is_small_former = false;
    std::set<core::service_id> draining;
    std::set<core::service_id> out_of_service;
    std::set<core::upstream_id> crashed;
    /// The overflow steps of the last packet sent.
    std::set<overflow_step> steps;

private:
    core::version version_{1, 10};
    routing::chain_router router_;
};

struct burst_outcome {
    std::size_t refused = 0;
    std::size_t taken_by_other_target = 0;
};

/// Sends one new flow every `gap`. The slots of its host answer it after the service time.
burst_outcome replay(split_route& route, std::uint32_t first_caller, std::uint32_t flows, std::chrono::nanoseconds gap)
{
    burst_outcome result;
    std::multimap<core::time_point, std::pair<core::upstream_id, std::uint32_t>> responses;
    std::map<core::upstream_id, std::array<core::time_point, slots>> free_times;
    for (auto caller = first_caller; caller < first_caller + flows; ++caller, route.now += gap) {
        for (; !responses.empty() && responses.begin()->first <= route.now; responses.erase(responses.begin())) {
            const auto& [at, of] = *responses.begin();
            for (const auto kind : {packet_kind::segment, packet_kind::closing})
                route.agent(of.first).record_response(split_route::packet(of.second, kind), at);
        }
        const auto end = route.send(split_route::packet(caller, packet_kind::syn));
        if (end.action != packet_action::place) {
            ++result.refused;
            continue;
        }
        result.taken_by_other_target += route.steps.count(overflow_step::taken);
        auto& slot = *std::min_element(free_times[end.at].begin(), free_times[end.at].end());
        slot = std::max(slot, route.now) + service_time;
        responses.emplace(slot, std::pair(end.at, caller));
    }
    return result;
}

} // namespace

// A change to an even split over services of 12 and 3 hosts sends the small one more than it can serve. Its share was
// refused although most hosts of the large one were free.
TEST_CASE("hosts of the other target serve what a small target of a split cannot")
{
    const auto run = [](bool can_overflow) {
        split_route it(12, 3);
        it.are_tables_current = can_overflow;
        // 30 slots of 24 ms serve 1,250 flows a second, of which the small service serves 250. 800 arrive.
        it.set_weights(90, 10);
        CHECK(replay(it, 0, 500, 1250us).refused == 0);
        it.set_weights(50, 50);
        return replay(it, 500, 2000, 1250us);
    };
    const auto bound = run(false);
    CHECK(bound.refused > 200);
    CHECK(bound.taken_by_other_target == 0);
    const auto served = run(true);
    CHECK(served.refused == 0);
    CHECK(served.taken_by_other_target > 200);
}

// Weights decide at ordinary load: an operator who gives a new service a small share must not find more flows there.
TEST_CASE("no flow leaves its target while that has free slots")
{
    split_route it(6, 6);
    it.set_weights(95, 5);
    const auto ordinary = replay(it, 0, 1000, 8ms);
    CHECK(ordinary.refused == 0);
    CHECK(ordinary.taken_by_other_target == 0);
}

// A flow may only run at a service that its route names with a weight above 0, and overflow must not bypass the
// admission of the other target's hosts. An agent whose table is not confirmed may not know the route's present
// targets.
TEST_CASE("a full target passes no flow to hosts that may not take it")
{
    split_route it(3, 3);
    const auto caller = it.caller_of(split_route::large);
    it.load(split_route::large, 12);
    const auto reason =
        GENERATE(values<std::string>({"weight 0", "former target", "unconfirmed table", "draining", "domain out"}));
    CAPTURE(reason);
    const bool may_offer = reason == "draining" || reason == "domain out";
    it.is_small_former = reason == "former target";
    if (reason == "weight 0" || it.is_small_former)
        it.set_weights(1, 0);
    it.are_tables_current = reason != "unconfirmed table";
    if (may_offer)
        (reason == "draining" ? it.draining : it.out_of_service).insert(split_route::small);
    CHECK(it.send(split_route::packet(caller, packet_kind::syn)).action != packet_action::place);
    CHECK(it.steps.contains(overflow_step::offered) == may_offer);
}

// A plan may give a weight to a service whose hosts have not joined yet, or have all been drained.
TEST_CASE("a target without candidates leaves its flows to the other one")
{
    split_route it(3, 3);
    const auto caller = it.caller_of(split_route::large);
    if (GENERATE(false, true))
        it.services.front().members.clear();
    for (auto& member : it.services.front().members) {
        member.eligible = false;
        member.history.back().to = it.table->at();
    }
    it.set_weights(1, 1);
    const auto placed = it.send(split_route::packet(caller, packet_kind::syn));
    CHECK(placed.action == packet_action::place);
    const auto data = it.send(split_route::packet(caller, packet_kind::segment));
    CHECK(data.action == packet_action::deliver);
    CHECK(data.at == placed.at);
}

// When all targets are full, the flow must not circle between them. Its weights entitle the first one to queue it.
TEST_CASE("a flow for which no target has room returns to the candidate that queues it")
{
    split_route it(3, 3);
    const auto caller = it.caller_of(split_route::small);
    it.load(split_route::large, slots + 1);
    it.load(split_route::small, slots + 1);
    const auto end = it.send(split_route::packet(caller, packet_kind::syn));
    CHECK(end.action == packet_action::place);
    CHECK(it.service_of(end.at) == split_route::small);
    CHECK(it.steps.contains(overflow_step::returned));
    CHECK(end.visits <= 7);
    const auto data = it.send(split_route::packet(caller, packet_kind::segment));
    CHECK(data.action == packet_action::deliver);
    CHECK(data.at == end.at);
}

// The balancer sends packets of the flow to the target that the hash selects, where the flow is not.
TEST_CASE("packets of an overflowed flow reach its host")
{
    split_route it(3, 3);
    const auto caller = it.caller_of(split_route::large);
    it.load(split_route::large, 12);
    const auto placed = it.send(split_route::packet(caller, packet_kind::syn));
    REQUIRE(placed.action == packet_action::place);
    REQUIRE(it.service_of(placed.at) == split_route::small);
    REQUIRE(it.steps.contains(overflow_step::taken));

    SECTION("through the redirect entries")
    {
        CHECK(it.send(split_route::packet(caller, packet_kind::segment)).visits <= placed.visits);
    }
    SECTION("after restarts of all agents that have passed the SYN on")
    {
        for (std::uint64_t id = 1; id <= 3; ++id)
            it.agents.erase(core::upstream_id(id));
    }
    SECTION("after a change of weights to either target")
    {
        const bool to_small = GENERATE(false, true);
        it.set_weights(to_small ? 0 : 1, to_small ? 1 : 0);
    }
    const auto end = it.send(split_route::packet(caller, packet_kind::segment));
    CHECK(end.action == packet_action::deliver);
    CHECK(end.at == placed.at);
}

// The copy of a SYN whose answer was lost, or that a crashed host got, must not wait for that host again.
TEST_CASE("a retransmitted SYN is offered to another host of the other target")
{
    split_route it(3, 3);
    const auto caller = it.caller_of(split_route::large);
    it.load(split_route::large, 12);
    const auto placed = it.send(split_route::packet(caller, packet_kind::syn));
    REQUIRE(it.service_of(placed.at) == split_route::small);
    it.crashed.insert(placed.at);
    const auto again = it.send(split_route::packet(caller, packet_kind::syn, 1));
    CHECK(again.action == packet_action::place);
    CHECK(it.service_of(again.at) == split_route::small);
    const auto data = it.send(split_route::packet(caller, packet_kind::segment));
    CHECK(data.action == packet_action::deliver);
    CHECK(data.at == again.at);
}

// Outdated redirect entries of two services that lead to each other must not send a packet in circles.
TEST_CASE("a packet of a flow that no host holds any more is rejected after both targets were searched")
{
    split_route it(3, 3);
    const auto caller = it.caller_of(split_route::large);
    it.load(split_route::large, 12);
    const auto placed = it.send(split_route::packet(caller, packet_kind::syn));
    it.agents.erase(placed.at);
    const auto end = it.send(split_route::packet(caller, packet_kind::segment));
    CHECK(end.action == packet_action::reject);
    CHECK(end.reason == packet_reason::unknown_flow);
}

// A flow that all targets refuse must end after a bounded number of offers, each to another service.
TEST_CASE("each target of a route is offered a flow at most once")
{
    std::vector<routing::service_members> services;
    routing::flow_route route{route_address, {}, {}, 0ms};
    for (std::uint64_t id = 1; id <= 7; ++id) {
        services.push_back({core::service_id(id), "s" + std::to_string(id), split_route(0, 0).make_members(1), {}});
        route.targets.push_back({core::service_id(id), 1});
    }
    routing::agent_snapshot agent;
    agent.applied = {1, 20};
    agent.table = routing::routing_table::create(agent.applied, services, nullptr, {{route}, {}});
    agent.table_current_until = core::time_point{1s};
    routing::packet_header header;
    header.service = core::service_id(1);
    std::set<core::service_id> offered{header.service};
    while (const auto next =
               decide_overflow(split_route::packet(1, packet_kind::syn), header, agent, {}, core::time_point{})) {
        CHECK(next->step == overflow_step::offered);
        CHECK(offered.insert(next->next.service).second);
        header = next->next;
    }
    CHECK(offered.size() == routing::max_offered_services + 1);
}
