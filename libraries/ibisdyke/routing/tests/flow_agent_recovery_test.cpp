#include "flow_agent_fixture.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace ibisdyke::routing::testing;
using namespace std::chrono_literals;
using routing::packet_action;
using routing::packet_reason;
using routing::search_phase;
using testing::simulated_hosts;

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
