#include "flow_agent_fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <stdexcept>

using namespace ibisdyke;
using namespace ibisdyke::routing::testing;
using namespace std::chrono_literals;
using routing::packet_action;
using routing::packet_kind;
using routing::packet_reason;
using routing::search_phase;
using testing::simulated_hosts;

// A datagram flow began at a member that had just returned, and its next datagram was sent with an older table that
// lacked this member. This datagram began a second flow at another member, and the caller got a reset.
TEST_CASE("a datagram sent with an older table finds a flow at a member that the table lacks")
{
    simulated_hosts hosts(4);
    const auto returning = hosts.members[1].target.id;
    hosts.end_eligibility(returning);
    hosts.find(returning).reachable = false;
    hosts.update_agents();
    const auto by_old_table = hosts.table;
    for (auto& it : hosts.members)
        hosts.agents.at(it.target.id)->maintain(hosts.snapshot_of(it.target.id), hosts.now);
    hosts.find(returning).reachable = true;
    hosts.begin_eligibility(returning);
    hosts.update_agents();
    std::uint32_t at_returning = 0;
    for (std::uint32_t i = 0; i < 200; ++i) {
        const auto placed = hosts.send(datagram(i), hosts.table);
        REQUIRE(placed.action == packet_action::place);
        at_returning += placed.at == returning ? 1 : 0;
        for (int repeat = 0; repeat < 2; ++repeat) {
            const auto next = hosts.send(datagram(i), by_old_table);
            CHECK(next.action == packet_action::deliver);
            CHECK(next.at == placed.at);
        }
    }
    CHECK(at_returning > 0);
}

// If a flow began with a table that is older than the watermarks, newer chains would lack the flow's member.
TEST_CASE("a flow begins at a candidate of the agent's table if the balancer's table is outdated")
{
    simulated_hosts hosts(6);
    hosts.end_eligibility(hosts.members[0].target.id);
    hosts.end_eligibility(hosts.members[1].target.id);
    hosts.update_agents();
    const auto by_old_table = hosts.table;
    hosts.begin_eligibility(hosts.members[0].target.id);
    hosts.begin_eligibility(hosts.members[1].target.id);
    hosts.update_agents();
    const auto maintain = [&] {
        for (auto& it : hosts.members) {
            const auto agent = hosts.snapshot_of(it.target.id);
            hosts.agents.at(it.target.id)->maintain(agent, hosts.now);
            it.flow_watermark = hosts.agents.at(it.target.id)->watermark(agent, hosts.now);
        }
    };
    maintain();
    hosts.now += 11s;
    maintain();
    hosts.current_version.index += 1;
    hosts.update_agents();
    std::uint32_t flow_count = 0;
    for (const auto phase : {search_phase::find, search_phase::place}) {
        for (std::uint32_t i = 0; i < 500; ++i) {
            const auto caller = flow_count++;
            const auto placed = hosts.send(syn(caller), by_old_table, phase);
            REQUIRE(placed.action == packet_action::place);
            const auto& chain = chain_of(hosts, syn(caller)).members;
            CHECK(chain.size() == routing::max_candidates);
            CHECK(std::any_of(chain.begin(), chain.end(), [&](const auto& it) { return it.id == placed.at; }));
            // Retransmissions and later packets reach the flow with both tables.
            for (const auto& table : {by_old_table, hosts.table}) {
                CHECK(hosts.send(syn(caller), table, phase).at == placed.at);
                CHECK(hosts.send(segment(caller), table).at == placed.at);
            }
        }
    }
    std::size_t open_flows = 0;
    for (const auto& [id, agent] : hosts.agents)
        open_flows += agent->flows().open_flows();
    CHECK(open_flows == flow_count);
}

// P1: an agent applied a domain-out before the balancers, or a domain-in after them. The agent rejected all packets,
// including those of flows at other members (9 broken flows in the demo).
TEST_CASE("an agent in a failure domain out of service forwards packets of other members' flows")
{
    simulated_hosts hosts(2);
    hosts.update_agents();
    const auto header = make_header(hosts, segment(1));
    const auto out = header.chain[0].id;
    const auto holder = header.chain[1].id;
    auto placed = make_header(hosts, syn(1));
    placed.position = 1;
    placed.phase = search_phase::place;
    REQUIRE(hosts.agents.at(holder)->decide(syn(1), placed, hosts.snapshot_of(holder), hosts.now).action
        == packet_action::place);
    auto agent = hosts.snapshot_of(out);
    agent.domain_out_of_service = true;
    const auto decision = hosts.agents.at(out)->decide(segment(1), header, agent, hosts.now);
    REQUIRE(decision.action == packet_action::forward);
    CHECK(decision.next->chain[decision.next->position].id == holder);
}

namespace {

/// Three hosts, and one whose failure domain has returned to service. Provides the tables before and after the return.
struct domain_return {
    domain_return()
    {
        hosts.begin_eligibility(id);
        hosts.find(id).reachable = true;
        hosts.update_agents();
    }

    /// Begins a flow at the host that has returned to service. Returns the flow's caller.
    std::uint32_t begin_flow(packet_kind kind)
    {
        for (std::uint32_t caller = 1; caller < 1000; ++caller) {
            const auto packet = simulated_hosts::packet(caller, kind);
            if (chain_of(hosts, packet).members.front().id != id)
                continue;
            if (hosts.send(packet, hosts.table).at == id)
                return caller;
        }
        throw std::logic_error("no flow began at the host");
    }

    /// Takes the host's failure domain out of service. Returns the resulting table.
    std::shared_ptr<const routing::routing_table> take_out()
    {
        hosts.end_eligibility(id);
        hosts.find(id).reachable = false;
        hosts.update_agents();
        return hosts.table;
    }

    simulated_hosts hosts{3};
    core::upstream_id id = hosts.add_host();
    std::shared_ptr<const routing::routing_table> table_before = take_out();
};

} // namespace

// P1: a balancer applied the return of a failure domain late and sent datagrams along a chain that lacked the flow's
// member. The last agent placed the datagrams as a new flow (4 broken flows in
// traces/pair-domain-in-balancer-cut-off.jsonl).
TEST_CASE("a datagram from a balancer with an older table finds its flow in a failure domain that has returned")
{
    domain_return domains;
    const auto caller = domains.begin_flow(packet_kind::datagram);
    const auto end = domains.hosts.send(datagram(caller), domains.table_before);
    CHECK(end.action == packet_action::deliver);
    CHECK(end.at == domains.id);
}

// P1: if the agents and a balancer lack the same change, a search cannot reach the flow's member.
TEST_CASE("an agent that lacks a change drops datagrams of unknown flows for a while")
{
    domain_return domains;
    auto& hosts = domains.hosts;
    const auto caller = domains.begin_flow(packet_kind::datagram);
    const auto newer = make_header(hosts, segment(1));
    for (const auto& it : hosts.members) {
        if (it.target.id != domains.id)
            hosts.table_overrides[it.target.id] = domains.table_before;
    }
    // Headers from another balancer show the agents that a newer version exists.
    for (std::uint32_t i = 0; i < newer.chain.size(); ++i) {
        auto header = newer;
        header.position = i;
        hosts.agents.at(header.chain[i].id)
            ->decide(segment(1), header, hosts.snapshot_of(header.chain[i].id), hosts.now);
    }
    const auto dropped = hosts.send(datagram(caller), domains.table_before);
    CHECK(dropped.action == packet_action::drop);
    CHECK(dropped.reason == packet_reason::unknown_flow);
    // For a segment no failed search is recorded, because the search was incomplete.
    const auto tcp_caller = domains.begin_flow(packet_kind::syn);
    CHECK(hosts.send(segment(tcp_caller), domains.table_before).action == packet_action::drop);
    hosts.now += 3s;
    CHECK(hosts.send(segment(tcp_caller), domains.table_before).action == packet_action::drop);
    // Agents that stay disconnected continue with their tables.
    hosts.now += 10s;
    CHECK(hosts.send(datagram(5000), domains.table_before).action == packet_action::place);
    // After applying the change, the agents find the flow.
    hosts.table_overrides.clear();
    CHECK(hosts.send(datagram(caller), domains.table_before).action == packet_action::deliver);
}
