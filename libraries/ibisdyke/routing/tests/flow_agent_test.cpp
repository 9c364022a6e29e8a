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

/// Returns the header of a packet that a balancer with the agents' table sends.
routing::packet_header header_of(const simulated_hosts& hosts, const routing::packet_info& packet)
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

// Guards against P2: a packet of one service that reaches an upstream of another.
TEST_CASE("packets for another service or upstream are dropped")
{
    simulated_hosts hosts(3);
    hosts.update_agents();
    const auto header = header_of(hosts, syn(1));
    auto& agent = *hosts.agents.at(header.chain[0].id);
    const auto snapshot = hosts.facts_of(header.chain[0].id);
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
    // A known flow does not make a foreign packet acceptable.
    REQUIRE(hosts.send(syn(1), hosts.table).action == packet_action::place);
    CHECK(agent.decide(syn(1), other_service, snapshot, hosts.now).action == packet_action::drop);
}

// Guards against P2: a balancer that takes an address for another service's names that service's upstreams rightly.
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
                auto header = header_of(hosts, it);
                header.phase = phase;
                auto& agent = *hosts.agents.at(header.chain[0].id);
                const auto decision = agent.decide(it, header, hosts.facts_of(header.chain[0].id), hosts.now);
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

// Guards against a retransmitted SYN that opens a second flow when the balancer places it without a search.
TEST_CASE("a retransmitted SYN meets the redirect entry")
{
    simulated_hosts hosts(5);
    hosts.update_agents();
    // The first candidate has more flows than the mean.
    const auto first = chain_of(hosts, syn(1)).members[0].id;
    hosts.mean = 1000;
    for (std::uint32_t i = 1000; i < 1200; ++i) {
        if (chain_of(hosts, syn(i)).members[0].id == first)
            hosts.send(syn(i), hosts.table);
    }
    hosts.mean = 1;
    const auto placed = hosts.send(syn(1), hosts.table, search_phase::place);
    REQUIRE(placed.action == packet_action::place);
    CHECK(placed.at != first);
    const auto again = hosts.send(syn(1), hosts.table, search_phase::place);
    CHECK(again.action == packet_action::deliver);
    CHECK(again.at == placed.at);
    CHECK(hosts.send(segment(1), hosts.table).at == placed.at);
}

// Guards against P3 and P8: more new flows than the agent may take, or new flows while its upstream drains.
TEST_CASE("admission limits new flows")
{
    simulated_hosts hosts(1);
    hosts.update_agents();
    const auto id = hosts.members[0].target.id;
    hosts.mean = 1000;
    hosts.admission[id].new_flows_per_second = 2;
    hosts.admission[id].burst = 2;
    const auto taken = [&hosts](std::uint32_t from) {
        std::uint32_t n = 0;
        for (std::uint32_t i = from; i < from + 10; ++i)
            n += hosts.send(syn(i), hosts.table).action == packet_action::place ? 1U : 0U;
        return n;
    };
    CHECK(taken(0) == 2);
    hosts.now += 500ms;
    CHECK(taken(100) == 1);
    hosts.now += 10s;
    CHECK(taken(200) == 2);
    hosts.admission[id] = {};
    hosts.admission[id].max_open_flows = 8;
    CHECK(taken(300) == 3);
    hosts.admission[id] = {};
    hosts.admission[id].accepts_new_flows = false;
    CHECK(taken(400) == 0);
    CHECK(hosts.send(syn(400), hosts.table).reason == packet_reason::no_capacity);
    // Open flows go on.
    CHECK(hosts.send(segment(0), hosts.table).action == packet_action::deliver);
}

// Guards against a flow that is rejected although a candidate could take it.
TEST_CASE("a flow returns to a candidate above the mean when no other one can take it")
{
    simulated_hosts hosts(3);
    hosts.update_agents();
    const auto& chain = chain_of(hosts, syn(1));
    hosts.mean = 1000;
    for (std::uint32_t i = 1000; i < 1100; ++i)
        hosts.send(syn(i), hosts.table);
    hosts.mean = 1;
    hosts.admission[chain.members[1].id].accepts_new_flows = false;
    hosts.admission[chain.members[2].id].accepts_new_flows = false;
    const auto placed = hosts.send(syn(1), hosts.table);
    CHECK(placed.action == packet_action::place);
    CHECK(placed.at == chain.members[0].id);
    CHECK(hosts.send(segment(1), hosts.table).at == placed.at);
}

// Guards against broken flows after an agent's restart, and against callers that wait on flows that are lost.
TEST_CASE("a restarted agent adopts its flows for a while")
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
    const auto missed = hosts.send(segment(1), hosts.table);
    CHECK(missed.action == packet_action::drop);
    CHECK(missed.reason == packet_reason::unknown_flow);
    hosts.now += 2s;
    const auto lost = hosts.send(segment(1), hosts.table);
    CHECK(lost.action == packet_action::reject);
    CHECK(lost.reason == packet_reason::unknown_flow);
}

// Guards against an adoption that takes a flow from the member that has it.
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

// Guards against UDP flows that move to another upstream when their agent restarts: a datagram of a lost flow looks
// like the first one of a new flow (2 broken flows in traces/agent-kill-long-requests.jsonl).
TEST_CASE("a restarted agent adopts its datagram flows")
{
    simulated_hosts hosts(4);
    hosts.update_agents();
    auto placed = header_of(hosts, datagram(1));
    const auto holder = placed.chain[1].id;
    placed.position = 1;
    placed.phase = search_phase::place;
    REQUIRE(hosts.agents.at(holder)->decide(datagram(1), placed, hosts.facts_of(holder), hosts.now).action
        == packet_action::place);
    REQUIRE(hosts.send(datagram(1), hosts.table).at == holder);
    hosts.restart(holder);
    const auto adopted = hosts.send(datagram(1), hosts.table);
    CHECK(adopted.at == holder);
    CHECK(hosts.send(datagram(1), hosts.table).action == packet_action::deliver);
}

// Guards against two agents that restarted one after the other and adopt each other's flows (2 broken flows in
// traces/agent-kill-long-requests.jsonl).
TEST_CASE("the agent that restarted last adopts an unknown flow")
{
    simulated_hosts hosts(4);
    hosts.update_agents();
    auto header = header_of(hosts, segment(1));
    const auto first = header.chain[0].id;
    const auto second = header.chain[1].id;
    auto earlier = hosts.facts_of(first);
    earlier.recovering_until = hosts.now + 57s;
    auto later = hosts.facts_of(second);
    later.recovering_until = hosts.now + 59s;
    const auto asked = hosts.agents.at(first)->decide(segment(1), header, earlier, hosts.now);
    REQUIRE(asked.next);
    CHECK(asked.next->restarted == 0U);
    auto next = *asked.next;
    next.position = 1;
    const auto overruled = hosts.agents.at(second)->decide(segment(1), next, later, hosts.now);
    REQUIRE(overruled.next);
    CHECK(overruled.next->restarted == 1U);
    auto back = *overruled.next;
    back.position = 0;
    back.asked = 0;
    CHECK(hosts.agents.at(first)->decide(segment(1), back, earlier, hosts.now).next->restarted == 1U);
}

// Guards against history that is pruned before a restarted agent could adopt the flows that need it.
TEST_CASE("the watermark of a restarted agent keeps its history until it has recovered")
{
    simulated_hosts hosts(1);
    hosts.at.index = 500;
    hosts.update_agents();
    const auto id = hosts.members[0].target.id;
    auto& agent = hosts.agents.at(id);
    agent->maintain(hosts.facts_of(id), hosts.now);
    CHECK(agent->watermark(hosts.facts_of(id), hosts.now) == core::version{1, 500});
    hosts.restart(id);
    agent->maintain(hosts.facts_of(id), hosts.now);
    CHECK(agent->watermark(hosts.facts_of(id), hosts.now) == core::version{1, 1});
    REQUIRE(hosts.send(segment(1), hosts.table).action == packet_action::adopt);
    hosts.now += 61s;
    CHECK(agent->watermark(hosts.facts_of(id), hosts.now) == core::version{1, 1});
}

// Guards against a watermark that rises while the last packet to adopt is on its way, and that is above the adopted
// flow then.
TEST_CASE("the watermark of a restarted agent stays for a while after the recovery window")
{
    simulated_hosts hosts(1);
    hosts.at.index = 500;
    hosts.update_agents();
    const auto id = hosts.members[0].target.id;
    hosts.restart(id);
    auto& agent = *hosts.agents.at(id);
    for (int i = 0; i < 65; ++i) {
        agent.maintain(hosts.facts_of(id), hosts.now);
        CHECK(agent.watermark(hosts.facts_of(id), hosts.now) == core::version{1, 1});
        hosts.now += 1s;
    }
    hosts.now += 5s;
    CHECK(agent.watermark(hosts.facts_of(id), hosts.now) == core::version{1, 500});
}

// Guards against adopted flows that count as old as the upstream and keep its chains long for hours.
TEST_CASE("adopted flows are not older than the recorded watermark")
{
    simulated_hosts hosts(1);
    hosts.at.index = 500;
    const auto id = hosts.members[0].target.id;
    hosts.find(id).flow_watermark = {1, 400};
    hosts.update_agents();
    hosts.restart(id);
    REQUIRE(hosts.send(segment(1), hosts.table).action == packet_action::adopt);
    hosts.now += 120s;
    CHECK(hosts.agents.at(id)->watermark(hosts.facts_of(id), hosts.now) == core::version{1, 400});
}

// Guards against a watermark that passes a flow of an upstream that drains for hours.
TEST_CASE("the watermark of a draining agent waits for its oldest flow")
{
    simulated_hosts hosts(4);
    hosts.update_agents();
    const auto placed = hosts.send(syn(1), hosts.table);
    REQUIRE(placed.action == packet_action::place);
    const auto began = hosts.at;
    auto& agent = *hosts.agents.at(placed.at);
    hosts.end_eligibility(placed.at);
    hosts.update_agents();
    for (int i = 0; i < 90; ++i) {
        agent.maintain(hosts.facts_of(placed.at), hosts.now);
        CHECK(agent.watermark(hosts.facts_of(placed.at), hosts.now) == began);
        REQUIRE(hosts.send(segment(1), hosts.table).at == placed.at);
        hosts.now += 1min;
    }
    hosts.now += 3h;
    agent.maintain(hosts.facts_of(placed.at), hosts.now);
    CHECK(agent.watermark(hosts.facts_of(placed.at), hosts.now) == hosts.at);
}

// Guards against a datagram flow that begins at a member which has just come back, and whose next datagram comes by the
// table without that member: it began a second flow elsewhere, and the caller got a reset.
TEST_CASE("a datagram by an older table finds the flow of a member that the table lacks")
{
    simulated_hosts hosts(4);
    const auto returning = hosts.members[1].target.id;
    hosts.end_eligibility(returning);
    hosts.find(returning).reachable = false;
    hosts.update_agents();
    const auto by_old_table = hosts.table;
    for (auto& it : hosts.members)
        hosts.agents.at(it.target.id)->maintain(hosts.facts_of(it.target.id), hosts.now);
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

// Guards against a flow that a balancer places by a table that the watermarks have passed: newer chains would miss it.
TEST_CASE("a flow begins at a candidate of the agent's table when the balancer's is out of date")
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
            const auto agent = hosts.facts_of(it.target.id);
            hosts.agents.at(it.target.id)->maintain(agent, hosts.now);
            it.flow_watermark = hosts.agents.at(it.target.id)->watermark(agent, hosts.now);
        }
    };
    maintain();
    hosts.now += 11s;
    maintain();
    hosts.at.index += 1;
    hosts.update_agents();
    std::uint32_t begun = 0;
    for (const auto phase : {search_phase::find, search_phase::place}) {
        for (std::uint32_t i = 0; i < 500; ++i) {
            const auto caller = begun++;
            const auto placed = hosts.send(syn(caller), by_old_table, phase);
            REQUIRE(placed.action == packet_action::place);
            const auto& chain = chain_of(hosts, syn(caller)).members;
            CHECK(chain.size() == routing::max_candidates);
            CHECK(std::any_of(chain.begin(), chain.end(), [&](const auto& it) { return it.id == placed.at; }));
            // Retransmissions and later packets reach the flow by both tables.
            for (const auto& table : {by_old_table, hosts.table}) {
                CHECK(hosts.send(syn(caller), table, phase).at == placed.at);
                CHECK(hosts.send(segment(caller), table).at == placed.at);
            }
        }
    }
    std::size_t open = 0;
    for (const auto& [id, agent] : hosts.agents)
        open += agent->flows().open_flows();
    CHECK(open == begun);
}

// Guards against history that is pruned while a balancer with an older table still places flows by it.
TEST_CASE("the watermark lags behind the applied version")
{
    simulated_hosts hosts(1);
    hosts.at = {1, 10};
    hosts.update_agents();
    const auto id = hosts.members[0].target.id;
    auto& agent = *hosts.agents.at(id);
    agent.maintain(hosts.facts_of(id), hosts.now);
    hosts.at = {1, 11};
    hosts.update_agents();
    hosts.now += 1s;
    agent.maintain(hosts.facts_of(id), hosts.now);
    hosts.now += 9s;
    agent.maintain(hosts.facts_of(id), hosts.now);
    CHECK(agent.watermark(hosts.facts_of(id), hosts.now) == core::version{1, 10});
    hosts.now += 1s;
    agent.maintain(hosts.facts_of(id), hosts.now);
    CHECK(agent.watermark(hosts.facts_of(id), hosts.now) == core::version{1, 11});
}

// Guards against flows that break when more members may hold them than a chain has room for.
TEST_CASE("the last member extends the search beyond the chain")
{
    simulated_hosts hosts(12);
    hosts.update_agents();
    const auto by_old_table = hosts.table;
    const auto owner = hosts.send(syn(1), hosts.table).at;
    hosts.end_eligibility(owner);
    hosts.update_agents();
    // A chain that leaves the owner out, as a full one could.
    auto header = header_of(hosts, segment(1));
    const auto at =
        std::find_if(header.chain.begin(), header.chain.end(), [&owner](const auto& it) { return it.id == owner; });
    REQUIRE(at != header.chain.end());
    header.chain.erase(at);
    const auto found = hosts.walk(segment(1), header);
    CHECK(found.action == packet_action::deliver);
    CHECK(found.at == owner);
    // The rate of such searches is limited.
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

// Guards against an agent that a flood with forged addresses turns into a source of resets, and against a flood of SYNs
// that keeps the packets of open flows from their answers.
TEST_CASE("the rate of rejections is bounded, apart for new and for open flows")
{
    simulated_hosts hosts(1);
    hosts.update_agents();
    const auto id = hosts.members[0].target.id;
    REQUIRE(hosts.send(syn(1), hosts.table).action == packet_action::place);
    routing::flow_agent agent(routing::flow_limits{}, 100, {10, 10});
    auto snapshot = hosts.facts_of(id);
    REQUIRE(agent.decide(syn(1), header_of(hosts, syn(1)), snapshot, hosts.now).action == packet_action::place);
    snapshot.domain_out = true;
    const auto count_answers = [&] {
        int answers = 0;
        for (std::uint32_t i = 0; i < 1000; ++i) {
            const auto end = agent.decide(syn(5000 + i), header_of(hosts, syn(5000 + i)), snapshot, hosts.now);
            if (end.action == packet_action::reject)
                ++answers;
            else
                CHECK(end.reason == packet_reason::answer_limit);
        }
        return answers;
    };
    CHECK(count_answers() == 10);
    CHECK(count_answers() == 0);
    CHECK(agent.decide(segment(1), header_of(hosts, segment(1)), snapshot, hosts.now).reason
        == packet_reason::domain_out);
    hosts.now += 500ms;
    CHECK(count_answers() == 5);
}

// Guards against P4: a failure domain out of service that still serves flows.
TEST_CASE("an agent in a domain that is out rejects and forgets its flows")
{
    simulated_hosts hosts(1);
    hosts.update_agents();
    const auto id = hosts.members[0].target.id;
    REQUIRE(hosts.send(syn(1), hosts.table).action == packet_action::place);
    auto snapshot = hosts.facts_of(id);
    snapshot.domain_out = true;
    auto& agent = *hosts.agents.at(id);
    const auto decision = agent.decide(segment(1), header_of(hosts, segment(1)), snapshot, hosts.now);
    CHECK(decision.action == packet_action::reject);
    CHECK(decision.reason == packet_reason::domain_out);
    agent.maintain(snapshot, hosts.now);
    CHECK(agent.flows().size() == 0);
}

// Guards against P1 broken by a domain-out or domain-in that an agent applies before or after the balancers: the agent
// used to reject every packet, also those of flows at other members (9 broken flows in the demo).
TEST_CASE("an agent in a domain that is out passes the flows of other members along")
{
    simulated_hosts hosts(2);
    hosts.update_agents();
    const auto header = header_of(hosts, segment(1));
    const auto out = header.chain[0].id;
    const auto holder = header.chain[1].id;
    auto placed = header_of(hosts, syn(1));
    placed.position = 1;
    placed.phase = search_phase::place;
    REQUIRE(hosts.agents.at(holder)->decide(syn(1), placed, hosts.facts_of(holder), hosts.now).action
        == packet_action::place);
    auto agent = hosts.facts_of(out);
    agent.domain_out = true;
    const auto decision = hosts.agents.at(out)->decide(segment(1), header, agent, hosts.now);
    REQUIRE(decision.action == packet_action::forward);
    CHECK(decision.next->chain[decision.next->position].id == holder);
}

namespace {

/// Three hosts and one whose failure domain has returned, with tables from before and after the return.
struct returned_domain {
    returned_domain()
    {
        hosts.begin_eligibility(id);
        hosts.find(id).reachable = true;
        hosts.update_agents();
    }

    /// Begins a flow at the host that has returned, and returns its caller.
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

    /// Takes the host's failure domain out and returns the table.
    std::shared_ptr<const routing::routing_table> take_out()
    {
        hosts.end_eligibility(id);
        hosts.find(id).reachable = false;
        hosts.update_agents();
        return hosts.table;
    }

    simulated_hosts hosts{3};
    core::upstream_id id = hosts.add_host();
    std::shared_ptr<const routing::routing_table> before = take_out();
};

} // namespace

// Guards against P1 broken by a balancer that learns late of a domain's return: it sends datagrams along a chain
// without the flow's member, and the last agent placed them as a new flow (4 broken flows in
// traces/pair-domain-in-balancer-cut-off.jsonl).
TEST_CASE("a datagram from a balancer with an older table finds its flow in a domain that has returned")
{
    returned_domain world;
    const auto caller = world.begin_flow(packet_kind::datagram);
    const auto end = world.hosts.send(datagram(caller), world.before);
    CHECK(end.action == packet_action::deliver);
    CHECK(end.at == world.id);
}

// Guards against P1 broken when agents and a balancer lack the same change: the search cannot reach the flow's member.
TEST_CASE("an agent that lacks a change drops datagrams of unknown flows for a while")
{
    returned_domain world;
    auto& hosts = world.hosts;
    const auto caller = world.begin_flow(packet_kind::datagram);
    const auto newer = header_of(hosts, segment(1));
    for (const auto& it : hosts.members) {
        if (it.target.id != world.id)
            hosts.own_tables[it.target.id] = world.before;
    }
    // Other balancers show the agents that there is a newer version.
    for (std::uint32_t i = 0; i < newer.chain.size(); ++i) {
        auto header = newer;
        header.position = i;
        hosts.agents.at(header.chain[i].id)->decide(segment(1), header, hosts.facts_of(header.chain[i].id), hosts.now);
    }
    const auto missed = hosts.send(datagram(caller), world.before);
    CHECK(missed.action == packet_action::drop);
    CHECK(missed.reason == packet_reason::unknown_flow);
    // A segment does not count as missed either, because the search was incomplete.
    const auto stream = world.begin_flow(packet_kind::syn);
    CHECK(hosts.send(segment(stream), world.before).action == packet_action::drop);
    hosts.now += 3s;
    CHECK(hosts.send(segment(stream), world.before).action == packet_action::drop);
    // Agents that stay cut off go on with what they have.
    hosts.now += 10s;
    CHECK(hosts.send(datagram(5000), world.before).action == packet_action::place);
    // With the change they find the flow.
    hosts.own_tables.clear();
    CHECK(hosts.send(datagram(caller), world.before).action == packet_action::deliver);
}

// Guards against packets that circulate between agents.
TEST_CASE("a packet visits a bounded number of agents")
{
    simulated_hosts hosts(3);
    hosts.update_agents();
    auto header = header_of(hosts, datagram(1));
    header.hops = routing::max_hops;
    CHECK(hosts.walk(datagram(1), header).reason == packet_reason::too_many_hops);
    // Entries of two agents that name each other.
    const auto first = header.chain[0];
    const auto second = header.chain[1];
    header.hops = 0;
    header.phase = search_phase::place;
    for (const auto& it : {first, second})
        hosts.admission[it.id].accepts_new_flows = false;
    hosts.admission[header.chain[2].id].accepts_new_flows = false;
    hosts.walk(datagram(1), header);
    std::swap(header.chain[0], header.chain[1]);
    const auto end = hosts.walk(datagram(1), header);
    CHECK(end.visits <= routing::max_hops + 1);
}

// Guards against a redirect entry that leads to an upstream that is gone.
TEST_CASE("a redirect to an unreachable member is given up")
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
