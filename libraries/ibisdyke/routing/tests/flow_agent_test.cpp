#include "ibisdyke/routing/flow_agent.h"
#include "ibisdyke/testing/simulated_hosts.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <stdexcept>

using namespace ibisdyke;
using namespace std::chrono_literals;
using routing::packet_action;
using routing::packet_kind;
using routing::packet_reason;
using routing::search_phase;
using testing::simulated_hosts;

namespace {

routing::packet_info syn(std::uint32_t caller)
{
    return simulated_hosts::packet(caller, packet_kind::syn);
}

routing::packet_info segment(std::uint32_t caller)
{
    return simulated_hosts::packet(caller, packet_kind::segment);
}

routing::packet_info datagram(std::uint32_t caller)
{
    return simulated_hosts::packet(caller, packet_kind::datagram);
}

const routing::chain& chain_of(const simulated_hosts& hosts, const routing::packet_info& packet)
{
    return *hosts.table->find_chain(simulated_hosts::service, routing::bucket_of_flow(packet.flow));
}

/// Returns the header that a balancer with the agents' table sends with the packet.
routing::packet_header make_header(const simulated_hosts& hosts, const routing::packet_info& packet)
{
    routing::packet_header result;
    result.table = hosts.table->at();
    result.service = simulated_hosts::service;
    const auto& chain = chain_of(hosts, packet);
    result.candidates = static_cast<std::uint32_t>(chain.candidates);
    for (const auto& it : chain.members)
        result.chain.push_back({it.id, it.packet_endpoint});
    return result;
}

} // namespace

// P2: a packet of one service must not reach an upstream of another service.
TEST_CASE("packets for another service or upstream are dropped")
{
    simulated_hosts hosts(3);
    hosts.update_agents();
    const auto header = make_header(hosts, syn(1));
    auto& agent = *hosts.agents.at(header.chain[0].id);
    const auto snapshot = hosts.snapshot_of(header.chain[0].id);
    auto other_service = header;
    other_service.service = core::service_id(8);
    auto other_upstream = header;
    other_upstream.position = 1;
    auto no_upstream = header;
    no_upstream.position = 3;
    for (const auto& it : {other_service, other_upstream, no_upstream}) {
        const auto decision = agent.decide(syn(1), it, snapshot, hosts.now);
        CHECK(decision.action == packet_action::drop);
        CHECK(decision.reason == packet_reason::foreign);
    }
    CHECK(agent.flows().size() == 0);
    // A packet with another service in its header is dropped even if its flow is known.
    REQUIRE(hosts.send(syn(1), hosts.table).action == packet_action::place);
    CHECK(agent.decide(syn(1), other_service, snapshot, hosts.now).action == packet_action::drop);
}

// P2: if a balancer maps an address to the wrong service, the header is consistent with this service. The agent must
// check the packet's destination.
TEST_CASE("packets to an address of another service are dropped")
{
    simulated_hosts hosts(3);
    hosts.update_agents();
    for (const auto& own : {syn(1), datagram(2)}) {
        auto other_address = own;
        ++other_address.flow.destination_address;
        auto other_port = own;
        ++other_port.flow.destination_port;
        for (const auto& it : {other_address, other_port}) {
            for (const auto phase : {search_phase::find, search_phase::place, search_phase::assign}) {
                auto header = make_header(hosts, it);
                header.phase = phase;
                auto& agent = *hosts.agents.at(header.chain[0].id);
                const auto decision = agent.decide(it, header, hosts.snapshot_of(header.chain[0].id), hosts.now);
                CHECK(decision.action == packet_action::drop);
                CHECK(decision.reason == packet_reason::foreign);
            }
        }
    }
}

TEST_CASE("a flow stays with the upstream that took it")
{
    simulated_hosts hosts(5);
    hosts.update_agents();
    for (std::uint32_t i = 0; i < 100; ++i) {
        const auto placed = hosts.send(syn(i), hosts.table);
        REQUIRE(placed.action == packet_action::place);
        const auto again = hosts.send(syn(i), hosts.table);
        CHECK(again.action == packet_action::deliver);
        CHECK(again.at == placed.at);
        CHECK(hosts.send(segment(i), hosts.table).at == placed.at);
    }
}

// A retransmitted SYN must not open a second flow when the balancer sends it in the phase `place`, without a search.
TEST_CASE("a retransmitted SYN follows the redirect entry")
{
    simulated_hosts hosts(5);
    hosts.update_agents();
    // The first candidate has more flows than the mean.
    const auto first = chain_of(hosts, syn(1)).members[0].id;
    hosts.mean_open_flows = 1000;
    for (std::uint32_t i = 1000; i < 1200; ++i) {
        if (chain_of(hosts, syn(i)).members[0].id == first)
            hosts.send(syn(i), hosts.table);
    }
    hosts.mean_open_flows = 1;
    const auto placed = hosts.send(syn(1), hosts.table, search_phase::place);
    REQUIRE(placed.action == packet_action::place);
    CHECK(placed.at != first);
    const auto again = hosts.send(syn(1), hosts.table, search_phase::place);
    CHECK(again.action == packet_action::deliver);
    CHECK(again.at == placed.at);
    CHECK(hosts.send(segment(1), hosts.table).at == placed.at);
}

// P3 and P8: an agent must not take more new flows than its limits allow, and none while its upstream drains.
TEST_CASE("admission limits new flows")
{
    simulated_hosts hosts(1);
    hosts.update_agents();
    const auto id = hosts.members[0].target.id;
    hosts.mean_open_flows = 1000;
    hosts.admission[id].new_flows_per_second = 2;
    hosts.admission[id].burst = 2;
    const auto count_placed = [&hosts](std::uint32_t first_caller) {
        std::uint32_t n = 0;
        for (std::uint32_t i = first_caller; i < first_caller + 10; ++i)
            n += hosts.send(syn(i), hosts.table).action == packet_action::place ? 1U : 0U;
        return n;
    };
    CHECK(count_placed(0) == 2);
    hosts.now += 500ms;
    CHECK(count_placed(100) == 1);
    hosts.now += 10s;
    CHECK(count_placed(200) == 2);
    hosts.admission[id] = {};
    hosts.admission[id].max_open_flows = 8;
    CHECK(count_placed(300) == 3);
    hosts.admission[id] = {};
    hosts.admission[id].accepts_new_flows = false;
    CHECK(count_placed(400) == 0);
    CHECK(hosts.send(syn(400), hosts.table).reason == packet_reason::no_capacity);
    // Open flows continue.
    CHECK(hosts.send(segment(0), hosts.table).action == packet_action::deliver);
}

// A flow must not be rejected while a candidate can take it.
TEST_CASE("a flow returns to a candidate above the mean when no other one can take it")
{
    simulated_hosts hosts(3);
    hosts.update_agents();
    const auto& chain = chain_of(hosts, syn(1));
    hosts.mean_open_flows = 1000;
    for (std::uint32_t i = 1000; i < 1100; ++i)
        hosts.send(syn(i), hosts.table);
    hosts.mean_open_flows = 1;
    hosts.admission[chain.members[1].id].accepts_new_flows = false;
    hosts.admission[chain.members[2].id].accepts_new_flows = false;
    const auto placed = hosts.send(syn(1), hosts.table);
    CHECK(placed.action == packet_action::place);
    CHECK(placed.at == chain.members[0].id);
    CHECK(hosts.send(segment(1), hosts.table).at == placed.at);
}

// A restart of an agent must not break its flows, and callers must not wait for flows that are lost.
TEST_CASE("a restarted agent adopts its flows during the recovery window")
{
    simulated_hosts hosts(4);
    hosts.update_agents();
    const auto owner = hosts.send(syn(1), hosts.table).at;
    CHECK(hosts.send(segment(2), hosts.table).reason == packet_reason::unknown_flow);
    hosts.restart(owner);
    const auto adopted = hosts.send(segment(1), hosts.table);
    CHECK(adopted.action == packet_action::adopt);
    CHECK(adopted.at == owner);
    CHECK(hosts.send(segment(1), hosts.table).action == packet_action::deliver);
    hosts.restart(owner);
    hosts.now += 61s;
    const auto dropped = hosts.send(segment(1), hosts.table);
    CHECK(dropped.action == packet_action::drop);
    CHECK(dropped.reason == packet_reason::unknown_flow);
    hosts.now += 2s;
    const auto rejected = hosts.send(segment(1), hosts.table);
    CHECK(rejected.action == packet_action::reject);
    CHECK(rejected.reason == packet_reason::unknown_flow);
}

// A restarted agent must not adopt a flow that is open at another member.
TEST_CASE("a flow that another member knows is not adopted")
{
    simulated_hosts hosts(4);
    hosts.update_agents();
    const auto owner = hosts.send(syn(1), hosts.table).at;
    for (const auto& it : hosts.members) {
        if (it.target.id != owner)
            hosts.restart(it.target.id);
    }
    const auto delivered = hosts.send(segment(1), hosts.table);
    CHECK(delivered.action == packet_action::deliver);
    CHECK(delivered.at == owner);
}

// A datagram of a flow that a restarted agent has lost looks like the first one of a new flow. UDP flows therefore
// moved to another upstream (2 broken flows in traces/agent-kill-long-requests.jsonl).
TEST_CASE("a restarted agent adopts its datagram flows")
{
    simulated_hosts hosts(4);
    hosts.update_agents();
    auto placed = make_header(hosts, datagram(1));
    const auto holder = placed.chain[1].id;
    placed.position = 1;
    placed.phase = search_phase::place;
    REQUIRE(hosts.agents.at(holder)->decide(datagram(1), placed, hosts.snapshot_of(holder), hosts.now).action
        == packet_action::place);
    REQUIRE(hosts.send(datagram(1), hosts.table).at == holder);
    hosts.restart(holder);
    const auto adopted = hosts.send(datagram(1), hosts.table);
    CHECK(adopted.at == holder);
    CHECK(hosts.send(datagram(1), hosts.table).action == packet_action::deliver);
}

// Two agents that restarted one after the other adopted each other's flows (2 broken flows in
// traces/agent-kill-long-requests.jsonl).
TEST_CASE("the agent that restarted last adopts an unknown flow")
{
    simulated_hosts hosts(4);
    hosts.update_agents();
    auto header = make_header(hosts, segment(1));
    const auto first = header.chain[0].id;
    const auto second = header.chain[1].id;
    auto earlier = hosts.snapshot_of(first);
    earlier.recovering_until = hosts.now + 57s;
    auto later = hosts.snapshot_of(second);
    later.recovering_until = hosts.now + 59s;
    const auto asked = hosts.agents.at(first)->decide(segment(1), header, earlier, hosts.now);
    REQUIRE(asked.next);
    CHECK(asked.next->restarted == 0U);
    auto next = *asked.next;
    next.position = 1;
    const auto replaced = hosts.agents.at(second)->decide(segment(1), next, later, hosts.now);
    REQUIRE(replaced.next);
    CHECK(replaced.next->restarted == 1U);
    auto back = *replaced.next;
    back.position = 0;
    back.asked = 0;
    CHECK(hosts.agents.at(first)->decide(segment(1), back, earlier, hosts.now).next->restarted == 1U);
}

// The history must not be pruned before a restarted agent has adopted the flows that need it.
TEST_CASE("the watermark of a restarted agent covers the flows that it may still adopt")
{
    simulated_hosts hosts(1);
    hosts.current_version.index = 500;
    hosts.update_agents();
    const auto id = hosts.members[0].target.id;
    auto& agent = hosts.agents.at(id);
    agent->maintain(hosts.snapshot_of(id), hosts.now);
    CHECK(agent->watermark(hosts.snapshot_of(id), hosts.now) == core::version{1, 500});
    hosts.restart(id);
    agent->maintain(hosts.snapshot_of(id), hosts.now);
    CHECK(agent->watermark(hosts.snapshot_of(id), hosts.now) == core::version{1, 1});
    REQUIRE(hosts.send(segment(1), hosts.table).action == packet_action::adopt);
    hosts.now += 61s;
    CHECK(agent->watermark(hosts.snapshot_of(id), hosts.now) == core::version{1, 1});
}

// The watermark must not rise while the packet of a flow to adopt may still be in transit. It would then be above the
// version at which the adopted flow began.
TEST_CASE("the watermark of a restarted agent stays for a while after the recovery window")
{
    simulated_hosts hosts(1);
    hosts.current_version.index = 500;
    hosts.update_agents();
    const auto id = hosts.members[0].target.id;
    hosts.restart(id);
    auto& agent = *hosts.agents.at(id);
    for (int i = 0; i < 65; ++i) {
        agent.maintain(hosts.snapshot_of(id), hosts.now);
        CHECK(agent.watermark(hosts.snapshot_of(id), hosts.now) == core::version{1, 1});
        hosts.now += 1s;
    }
    hosts.now += 5s;
    CHECK(agent.watermark(hosts.snapshot_of(id), hosts.now) == core::version{1, 500});
}

// If adopted flows counted as old as the upstream, the upstream's chains would stay long for hours.
TEST_CASE("adopted flows are not older than the recorded watermark")
{
    simulated_hosts hosts(1);
    hosts.current_version.index = 500;
    const auto id = hosts.members[0].target.id;
    hosts.find(id).flow_watermark = {1, 400};
    hosts.update_agents();
    hosts.restart(id);
    REQUIRE(hosts.send(segment(1), hosts.table).action == packet_action::adopt);
    hosts.now += 120s;
    CHECK(hosts.agents.at(id)->watermark(hosts.snapshot_of(id), hosts.now) == core::version{1, 400});
}

// The watermark must not pass an open flow of an upstream that drains for hours.
TEST_CASE("the watermark of a draining agent stays at the version of its oldest flow")
{
    simulated_hosts hosts(4);
    hosts.update_agents();
    const auto placed = hosts.send(syn(1), hosts.table);
    REQUIRE(placed.action == packet_action::place);
    const auto began = hosts.current_version;
    auto& agent = *hosts.agents.at(placed.at);
    hosts.end_eligibility(placed.at);
    hosts.update_agents();
    for (int i = 0; i < 90; ++i) {
        agent.maintain(hosts.snapshot_of(placed.at), hosts.now);
        CHECK(agent.watermark(hosts.snapshot_of(placed.at), hosts.now) == began);
        REQUIRE(hosts.send(segment(1), hosts.table).at == placed.at);
        hosts.now += 1min;
    }
    hosts.now += 3h;
    agent.maintain(hosts.snapshot_of(placed.at), hosts.now);
    CHECK(agent.watermark(hosts.snapshot_of(placed.at), hosts.now) == hosts.current_version);
}

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

// The history must not be pruned while a balancer with an older table still places flows with it.
TEST_CASE("the watermark lags behind the applied version")
{
    simulated_hosts hosts(1);
    hosts.current_version = {1, 10};
    hosts.update_agents();
    const auto id = hosts.members[0].target.id;
    auto& agent = *hosts.agents.at(id);
    agent.maintain(hosts.snapshot_of(id), hosts.now);
    hosts.current_version = {1, 11};
    hosts.update_agents();
    hosts.now += 1s;
    agent.maintain(hosts.snapshot_of(id), hosts.now);
    hosts.now += 9s;
    agent.maintain(hosts.snapshot_of(id), hosts.now);
    CHECK(agent.watermark(hosts.snapshot_of(id), hosts.now) == core::version{1, 10});
    hosts.now += 1s;
    agent.maintain(hosts.snapshot_of(id), hosts.now);
    CHECK(agent.watermark(hosts.snapshot_of(id), hosts.now) == core::version{1, 11});
}

// Flows must not break when more members may hold them than fit into a chain.
TEST_CASE("the last member extends the search beyond the chain")
{
    simulated_hosts hosts(12);
    hosts.update_agents();
    const auto by_old_table = hosts.table;
    const auto owner = hosts.send(syn(1), hosts.table).at;
    hosts.end_eligibility(owner);
    hosts.update_agents();
    // The chain lacks the owner, as a full chain may.
    auto header = make_header(hosts, segment(1));
    const auto owner_in_chain =
        std::find_if(header.chain.begin(), header.chain.end(), [&owner](const auto& it) { return it.id == owner; });
    REQUIRE(owner_in_chain != header.chain.end());
    header.chain.erase(owner_in_chain);
    const auto found = hosts.forward_until_decided(segment(1), header);
    CHECK(found.action == packet_action::deliver);
    CHECK(found.at == owner);
    // The rate of extended searches is limited.
    std::uint32_t longest = 0;
    std::uint32_t shortest = 100;
    for (std::uint32_t i = 0; i < 200 * 12; ++i) {
        const auto end = hosts.send(segment(5000 + i), hosts.table);
        CHECK(end.reason == packet_reason::unknown_flow);
        longest = std::max(longest, end.visits);
        shortest = std::min(shortest, end.visits);
    }
    CHECK(longest >= 12);
    CHECK(shortest <= 4);
}

// A flood with forged source addresses must not make an agent send resets without limit, and a flood of SYNs must not
// suppress the rejections of open flows.
TEST_CASE("the rates of rejections of new and of open flows are limited separately")
{
    simulated_hosts hosts(1);
    hosts.update_agents();
    const auto id = hosts.members[0].target.id;
    REQUIRE(hosts.send(syn(1), hosts.table).action == packet_action::place);
    routing::flow_agent agent(routing::flow_limits{}, 100, {10, 10});
    auto snapshot = hosts.snapshot_of(id);
    REQUIRE(agent.decide(syn(1), make_header(hosts, syn(1)), snapshot, hosts.now).action == packet_action::place);
    snapshot.domain_out_of_service = true;
    const auto count_rejections = [&] {
        int rejections = 0;
        for (std::uint32_t i = 0; i < 1000; ++i) {
            const auto end = agent.decide(syn(5000 + i), make_header(hosts, syn(5000 + i)), snapshot, hosts.now);
            if (end.action == packet_action::reject)
                ++rejections;
            else
                CHECK(end.reason == packet_reason::answer_limit);
        }
        return rejections;
    };
    CHECK(count_rejections() == 10);
    CHECK(count_rejections() == 0);
    CHECK(agent.decide(segment(1), make_header(hosts, segment(1)), snapshot, hosts.now).reason
        == packet_reason::domain_out);
    hosts.now += 500ms;
    CHECK(count_rejections() == 5);
}

// P4: a failure domain that is out of service must not serve flows.
TEST_CASE("an agent in a failure domain out of service rejects and removes its flows")
{
    simulated_hosts hosts(1);
    hosts.update_agents();
    const auto id = hosts.members[0].target.id;
    REQUIRE(hosts.send(syn(1), hosts.table).action == packet_action::place);
    auto snapshot = hosts.snapshot_of(id);
    snapshot.domain_out_of_service = true;
    auto& agent = *hosts.agents.at(id);
    const auto decision = agent.decide(segment(1), make_header(hosts, segment(1)), snapshot, hosts.now);
    CHECK(decision.action == packet_action::reject);
    CHECK(decision.reason == packet_reason::domain_out);
    agent.maintain(snapshot, hosts.now);
    CHECK(agent.flows().size() == 0);
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

// A packet must not circulate between agents forever.
TEST_CASE("a packet visits a bounded number of agents")
{
    simulated_hosts hosts(3);
    hosts.update_agents();
    auto header = make_header(hosts, datagram(1));
    header.hops = routing::max_hops;
    CHECK(hosts.forward_until_decided(datagram(1), header).reason == packet_reason::too_many_hops);
    // All candidates refuse the first packet, so it leaves redirect entries at the first two. The second packet follows
    // one of them.
    const auto first = header.chain[0];
    const auto second = header.chain[1];
    header.hops = 0;
    header.phase = search_phase::place;
    for (const auto& it : {first, second})
        hosts.admission[it.id].accepts_new_flows = false;
    hosts.admission[header.chain[2].id].accepts_new_flows = false;
    hosts.forward_until_decided(datagram(1), header);
    std::swap(header.chain[0], header.chain[1]);
    const auto end = hosts.forward_until_decided(datagram(1), header);
    CHECK(end.visits <= routing::max_hops + 1);
}

// A redirect entry must not lead to an upstream that is gone.
TEST_CASE("a redirect entry to an unreachable member is removed")
{
    simulated_hosts hosts(3);
    hosts.update_agents();
    const auto& chain = chain_of(hosts, datagram(1));
    const auto first = chain.members[0].id;
    hosts.admission[first].accepts_new_flows = false;
    const auto placed = hosts.send(datagram(1), hosts.table);
    REQUIRE(placed.at != first);
    hosts.admission[first].accepts_new_flows = true;
    hosts.end_eligibility(placed.at);
    hosts.find(placed.at).reachable = false;
    hosts.update_agents();
    const auto again = hosts.send(datagram(1), hosts.table);
    CHECK(again.action == packet_action::place);
    CHECK(again.at != placed.at);
}
