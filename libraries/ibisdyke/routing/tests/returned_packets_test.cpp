#include "ibisdyke/testing/simulated_hosts.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace std::chrono_literals;
using routing::packet_action;
using routing::packet_kind;
using routing::packet_reason;
using routing::search_phase;
using testing::simulated_hosts;

namespace {

/// Simulates hosts and their upstreams, which return packets of flows that they do not hold.
class packet_return_simulation {
public:
    explicit packet_return_simulation(std::size_t count)
        : hosts(count)
    {
        hosts.upstreams_return_packets = true;
        hosts.update_agents();
    }

    /// Passes a packet between agents, and back from upstreams that do not hold its flow, until an upstream accepts it
    /// or an agent rejects or drops it.
    testing::packet_outcome send(const routing::packet_info& packet, search_phase phase)
    {
        auto header = simulated_hosts::make_header(packet, *hosts.table, phase);
        bool returned = false;
        for (std::uint32_t visits = 1;; ++visits) {
            const auto id = header.chain[header.position].id;
            auto& agent = *hosts.agents.at(id);
            const auto snapshot = hosts.snapshot_of(id);
            const auto decision = returned ? agent.decide_returned(packet, header, snapshot, hosts.now)
                                           : agent.decide(packet, header, snapshot, hosts.now);
            returned = false;
            if (decision.action == packet_action::forward) {
                header = *decision.next;
                continue;
            }
            const bool delivered = decision.action == packet_action::deliver || decision.action == packet_action::place
                || decision.action == packet_action::adopt;
            if (!delivered || accepts(id, packet))
                return {decision.action, decision.reason, id, visits};
            returned = true;
        }
    }

    simulated_hosts hosts;
    std::map<core::upstream_id, std::set<routing::flow_key>> held_flows;
    std::set<core::upstream_id> full_upstreams;

private:
    bool accepts(const core::upstream_id& id, const routing::packet_info& packet)
    {
        if (packet.kind == packet_kind::syn && !full_upstreams.contains(id))
            held_flows[id].insert(packet.flow);
        return held_flows[id].contains(packet.flow);
    }
};

routing::packet_info first_syn(std::uint32_t caller)
{
    auto result = simulated_hosts::packet(caller, packet_kind::syn);
    result.is_first = true;
    return result;
}

routing::packet_info segment(std::uint32_t caller)
{
    return simulated_hosts::packet(caller, packet_kind::segment);
}

} // namespace

// A restart of an agent must not break its flows.
TEST_CASE("a restarted agent asks its upstream which flows it holds")
{
    packet_return_simulation simulation(5);
    std::map<std::uint32_t, core::upstream_id> owners;
    for (std::uint32_t caller = 0; caller < 50; ++caller) {
        const auto end = simulation.send(first_syn(caller), search_phase::place);
        REQUIRE(end.action == packet_action::place);
        owners[caller] = end.at;
    }
    for (const auto& member : simulation.hosts.members)
        simulation.hosts.restart(member.target.id);
    for (const auto& [caller, owner] : owners) {
        const auto end = simulation.send(segment(caller), search_phase::find);
        CHECK(end.action == packet_action::adopt);
        CHECK(end.at == owner);
        CHECK(simulation.send(segment(caller), search_phase::find).at == owner);
    }
}

// The SYN of a new flow must not be lost at an upstream that cannot take the flow.
TEST_CASE("a flow that an upstream refuses goes to another candidate")
{
    packet_return_simulation simulation(3);
    const auto syn = first_syn(1);
    const auto& chain =
        *simulation.hosts.table->find_chain(simulated_hosts::service, routing::bucket_of_flow(syn.flow));
    simulation.full_upstreams = {chain.members[0].id, chain.members[1].id};
    const auto end = simulation.send(syn, search_phase::place);
    CHECK(end.action == packet_action::place);
    CHECK(end.at == chain.members[2].id);
    simulation.full_upstreams.insert(chain.members[2].id);
    simulation.hosts.now += 1s;
    const auto refused = simulation.send(first_syn(2), search_phase::place);
    CHECK(refused.action == packet_action::reject);
    CHECK(refused.reason == packet_reason::no_capacity);
}

// Callers must not wait for their deadline on a lost flow. Agents whose table may lack the flow's member must not reset
// the flow.
TEST_CASE("a flow that no upstream holds is rejected at once if the table is current")
{
    packet_return_simulation simulation(5);
    REQUIRE(simulation.send(first_syn(1), search_phase::place).action == packet_action::place);
    simulation.held_flows.clear();
    for (const auto& member : simulation.hosts.members)
        simulation.hosts.restart(member.target.id);
    CHECK(simulation.send(segment(1), search_phase::find).action == packet_action::drop);
    simulation.hosts.table_current_until = simulation.hosts.now + 1s;
    const auto end = simulation.send(segment(1), search_phase::find);
    CHECK(end.action == packet_action::reject);
    CHECK(end.reason == packet_reason::unknown_flow);
}

// In a service with more members than fit into a header, callers must not wait for their deadline on a lost flow. Only
// the members of the bucket's chain may hold the flow.
TEST_CASE("a flow that no upstream of its chain holds is rejected at once in a large service")
{
    packet_return_simulation simulation(40);
    REQUIRE(simulation.send(first_syn(1), search_phase::place).action == packet_action::place);
    simulation.held_flows.clear();
    for (const auto& member : simulation.hosts.members)
        simulation.hosts.restart(member.target.id);
    simulation.hosts.table_current_until = simulation.hosts.now + 1s;
    const auto end = simulation.send(segment(1), search_phase::find);
    INFO(static_cast<int>(end.reason) << " visits " << end.visits);
    CHECK(end.action == packet_action::reject);
    CHECK(end.reason == packet_reason::unknown_flow);
}

// Open flows must not break when a plan assigns their route to another service.
TEST_CASE("a flow is found in a former target of its route")
{
    packet_return_simulation simulation(3);
    REQUIRE(simulation.send(first_syn(1), search_phase::place).action == packet_action::place);
    const core::service_id other(8);
    ++simulation.hosts.current_version.index;
    routing::service_members members{simulated_hosts::service, "service", simulation.hosts.members, {}};
    routing::service_members others{other, "other", {}, {}};
    auto& added = others.members.emplace_back(simulation.hosts.members[0]);
    added.target.id = core::upstream_id(999'999);
    const routing::public_address address{{simulated_hosts::address, simulated_hosts::port}, routing::ip_protocol::tcp};
    const auto table = routing::routing_table::create(simulation.hosts.current_version, {members, others}, nullptr,
        {{{address, {{other, 1}}, {simulated_hosts::service}, 0ms}}, {}});
    routing::agent_snapshot snapshot;
    snapshot.self = added.target.id;
    snapshot.service = other;
    snapshot.applied = simulation.hosts.current_version;
    snapshot.table = table;
    snapshot.members = table->find_service(other);
    routing::flow_agent agent({}, 100, {});
    routing::packet_header header;
    header.table = simulation.hosts.current_version;
    header.service = other;
    header.chain = {{added.target.id, added.target.packet_endpoint}};
    header.candidates = 1;
    const auto decision = agent.decide(segment(1), header, snapshot, simulation.hosts.now);
    REQUIRE(decision.action == packet_action::forward);
    CHECK(decision.next->service == simulated_hosts::service);
    CHECK(decision.next->searched == std::vector<core::service_id>{other});
    // New flows begin in the current target.
    CHECK(agent.decide(first_syn(2), header, snapshot, simulation.hosts.now).action == packet_action::place);
}

// A balancer with an older table sends a new flow to a service that is no longer a target of the flow's route. The flow
// must not begin there (ROUTE).
TEST_CASE("a new flow sent with an older table goes to the newer target, or is rejected if its route is withdrawn")
{
    packet_return_simulation simulation(1);
    const core::service_id other(8);
    const routing::public_address address{{simulated_hosts::address, simulated_hosts::port}, routing::ip_protocol::tcp};
    const auto syn = first_syn(1);
    auto header =
        *routing::flow_agent::make_header(syn, simulation.hosts.snapshot_of(simulation.hosts.members[0].target.id));
    ++simulation.hosts.current_version.index;
    routing::service_members members{simulated_hosts::service, "service", simulation.hosts.members, {}};
    routing::service_members others{other, "other", simulation.hosts.members, {}};
    others.members[0].target.id = core::upstream_id(999'999);
    auto snapshot = simulation.hosts.snapshot_of(simulation.hosts.members[0].target.id);
    snapshot.applied = simulation.hosts.current_version;
    snapshot.table = routing::routing_table::create(simulation.hosts.current_version, {members, others}, nullptr,
        {{{address, {{other, 1}}, {simulated_hosts::service}, 0ms}}, {}});
    routing::flow_agent agent({}, 100, {});
    const auto moved = agent.decide(syn, header, snapshot, simulation.hosts.now);
    REQUIRE(moved.action == packet_action::forward);
    CHECK(moved.next->service == other);
    CHECK(moved.next->phase == search_phase::place);
    snapshot.table =
        routing::routing_table::create(simulation.hosts.current_version, {members, others}, nullptr, {{}, {address}});
    const auto withdrawn = agent.decide(syn, header, snapshot, simulation.hosts.now);
    CHECK(withdrawn.action == packet_action::reject);
    CHECK(withdrawn.reason == packet_reason::withdrawn);
}
