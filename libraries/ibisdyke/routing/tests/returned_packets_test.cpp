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

/// Hosts whose upstreams return what they do not hold. Plays the upstreams as well.
class disowning_hosts {
public:
    explicit disowning_hosts(std::size_t count)
        : hosts(count)
    {
        hosts.upstreams_disown = true;
        hosts.update_agents();
    }

    /// Hands a packet from agent to agent, and back from upstreams that do not hold its flow, until it ends.
    testing::packet_end send(const routing::packet_info& packet, search_phase phase)
    {
        const auto& chain = *hosts.table->find_chain(simulated_hosts::service, routing::bucket_of_flow(packet.flow));
        routing::packet_header header;
        header.table = hosts.table->at();
        header.service = simulated_hosts::service;
        header.phase = phase;
        header.candidates = static_cast<std::uint32_t>(chain.candidates);
        for (const auto& it : chain.members)
            header.chain.push_back({it.id, it.packet_endpoint});
        bool disowned = false;
        for (std::uint32_t visits = 1;; ++visits) {
            const auto id = header.chain[header.position].id;
            auto& agent = *hosts.agents.at(id);
            const auto snapshot = hosts.facts_of(id);
            const auto decision = disowned ? agent.decide_returned(packet, header, snapshot, hosts.now)
                                           : agent.decide(packet, header, snapshot, hosts.now);
            disowned = false;
            if (decision.action == packet_action::forward) {
                header = *decision.next;
                continue;
            }
            const bool handed_over = decision.action == packet_action::deliver
                || decision.action == packet_action::place || decision.action == packet_action::adopt;
            if (!handed_over || accepts(id, packet))
                return {decision.action, decision.reason, id, visits};
            disowned = true;
        }
    }

    simulated_hosts hosts;
    std::map<core::upstream_id, std::set<routing::flow_key>> held;
    std::set<core::upstream_id> full;

private:
    bool accepts(const core::upstream_id& id, const routing::packet_info& packet)
    {
        if (packet.kind == packet_kind::syn && !full.contains(id))
            held[id].insert(packet.flow);
        return held[id].contains(packet.flow);
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

// Guards against flows that are broken by a restart of their agent.
TEST_CASE("a restarted agent asks its upstream which flows it holds")
{
    disowning_hosts it(5);
    std::map<std::uint32_t, core::upstream_id> owners;
    for (std::uint32_t caller = 0; caller < 50; ++caller) {
        const auto end = it.send(first_syn(caller), search_phase::place);
        REQUIRE(end.action == packet_action::place);
        owners[caller] = end.at;
    }
    for (const auto& member : it.hosts.members)
        it.hosts.restart(member.target.id);
    for (const auto& [caller, owner] : owners) {
        const auto end = it.send(segment(caller), search_phase::find);
        CHECK(end.action == packet_action::adopt);
        CHECK(end.at == owner);
        CHECK(it.send(segment(caller), search_phase::find).at == owner);
    }
}

// Guards against a SYN that is lost at an upstream that cannot take it.
TEST_CASE("a flow that an upstream refuses goes to another candidate")
{
    disowning_hosts it(3);
    const auto syn = first_syn(1);
    const auto& chain = *it.hosts.table->find_chain(simulated_hosts::service, routing::bucket_of_flow(syn.flow));
    it.full = {chain.members[0].id, chain.members[1].id};
    const auto end = it.send(syn, search_phase::place);
    CHECK(end.action == packet_action::place);
    CHECK(end.at == chain.members[2].id);
    it.full.insert(chain.members[2].id);
    it.hosts.now += 1s;
    const auto none = it.send(first_syn(2), search_phase::place);
    CHECK(none.action == packet_action::reject);
    CHECK(none.reason == packet_reason::no_capacity);
}

// Guards against callers that wait for their deadline on a flow that is lost, and against a reset by agents whose table
// may lack the flow's member.
TEST_CASE("a flow that all upstreams disown is reset at once when the table is current")
{
    disowning_hosts it(5);
    REQUIRE(it.send(first_syn(1), search_phase::place).action == packet_action::place);
    it.held.clear();
    for (const auto& member : it.hosts.members)
        it.hosts.restart(member.target.id);
    CHECK(it.send(segment(1), search_phase::find).action == packet_action::drop);
    it.hosts.current_until = it.hosts.now + 1s;
    const auto end = it.send(segment(1), search_phase::find);
    CHECK(end.action == packet_action::reject);
    CHECK(end.reason == packet_reason::unknown_flow);
}

// Guards against callers that wait for their deadline where a service has more members than a header names: the members
// of the bucket's chain are all that may hold the flow.
TEST_CASE("a flow that all upstreams of its chain disown is reset at once in a large service")
{
    disowning_hosts it(40);
    REQUIRE(it.send(first_syn(1), search_phase::place).action == packet_action::place);
    it.held.clear();
    for (const auto& member : it.hosts.members)
        it.hosts.restart(member.target.id);
    it.hosts.current_until = it.hosts.now + 1s;
    const auto end = it.send(segment(1), search_phase::find);
    INFO(static_cast<int>(end.reason) << " visits " << end.visits);
    CHECK(end.action == packet_action::reject);
    CHECK(end.reason == packet_reason::unknown_flow);
}

// Guards against open flows that break when a plan gives their route to another service.
TEST_CASE("a flow of a service that the route named before is found")
{
    disowning_hosts it(3);
    REQUIRE(it.send(first_syn(1), search_phase::place).action == packet_action::place);
    const core::service_id other(8);
    ++it.hosts.at.index;
    routing::service_members members{simulated_hosts::service, "service", it.hosts.members, {}};
    routing::service_members others{other, "other", {}, {}};
    auto& added = others.members.emplace_back(it.hosts.members[0]);
    added.target.id = core::upstream_id(999'999);
    const routing::public_address address{{simulated_hosts::address, simulated_hosts::port}, routing::ip_protocol::tcp};
    const auto table = routing::routing_table::create(
        it.hosts.at, {members, others}, nullptr, {{{address, {{other, 1}}, {simulated_hosts::service}, 0ms}}, {}});
    routing::agent_snapshot snapshot;
    snapshot.self = added.target.id;
    snapshot.service = other;
    snapshot.applied = it.hosts.at;
    snapshot.table = table;
    snapshot.members = table->find_service(other);
    routing::flow_agent agent({}, 100, {});
    routing::packet_header header;
    header.table = it.hosts.at;
    header.service = other;
    header.chain = {{added.target.id, added.target.packet_endpoint}};
    header.candidates = 1;
    const auto decision = agent.decide(segment(1), header, snapshot, it.hosts.now);
    REQUIRE(decision.action == packet_action::forward);
    CHECK(decision.next->service == simulated_hosts::service);
    CHECK(decision.next->searched == std::vector<core::service_id>{other});
    // New flows stay with the present target.
    CHECK(agent.decide(first_syn(2), header, snapshot, it.hosts.now).action == packet_action::place);
}

// Guards against a new flow at a service to which no plan in force sends it (ROUTE by an old table).
TEST_CASE("a new flow by an older table goes where the newer plan sends it, or is reset when the route is withdrawn")
{
    disowning_hosts it(1);
    const core::service_id other(8);
    const routing::public_address address{{simulated_hosts::address, simulated_hosts::port}, routing::ip_protocol::tcp};
    const auto syn = first_syn(1);
    auto header = *routing::flow_agent::make_header(syn, it.hosts.facts_of(it.hosts.members[0].target.id));
    ++it.hosts.at.index;
    routing::service_members members{simulated_hosts::service, "service", it.hosts.members, {}};
    routing::service_members others{other, "other", it.hosts.members, {}};
    others.members[0].target.id = core::upstream_id(999'999);
    auto snapshot = it.hosts.facts_of(it.hosts.members[0].target.id);
    snapshot.applied = it.hosts.at;
    snapshot.table = routing::routing_table::create(
        it.hosts.at, {members, others}, nullptr, {{{address, {{other, 1}}, {simulated_hosts::service}, 0ms}}, {}});
    routing::flow_agent agent({}, 100, {});
    const auto moved = agent.decide(syn, header, snapshot, it.hosts.now);
    REQUIRE(moved.action == packet_action::forward);
    CHECK(moved.next->service == other);
    CHECK(moved.next->phase == search_phase::place);
    snapshot.table = routing::routing_table::create(it.hosts.at, {members, others}, nullptr, {{}, {address}});
    const auto withdrawn = agent.decide(syn, header, snapshot, it.hosts.now);
    CHECK(withdrawn.action == packet_action::reject);
    CHECK(withdrawn.reason == packet_reason::withdrawn);
}
