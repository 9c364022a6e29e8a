#include "ibisdyke/routing/chain_router.h"
#include "ibisdyke/routing/reachability_monitor.h"
#include "ibisdyke/routing/reordered_chain.h"
#include "ibisdyke/testing/simulated_hosts.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>

using namespace ibisdyke;
using namespace std::chrono_literals;
using routing::packet_action;
using routing::packet_kind;
using routing::reachability_monitor;
using testing::simulated_hosts;

namespace {

const core::time_point start{1h};

routing::chain_member member(std::uint64_t n)
{
    return {core::make_upstream_id(n, 0), {0x7f000001, static_cast<std::uint16_t>(n)}, {}, {}};
}

/// A balancer that cannot reach some of the agents. Packets sent to these agents are lost.
class partitioned_balancer {
public:
    explicit partitioned_balancer(std::size_t count)
        : hosts(count)
    {
        hosts.update_agents();
        use({});
    }

    /// Gives the router a table with these unreachable upstreams.
    void use(const routing::unreachable_set& unreachable)
    {
        table_ = routing::forwarding_table::create(hosts.table, table_, hosts.now, unreachable);
        router_.set_table(table_);
    }

    /// Makes the agent unreachable. The router does not know this before use() is called.
    void disconnect(const core::upstream_id& id)
    {
        disconnected_.emplace(id, std::move(hosts.agents.at(id)));
        hosts.agents.erase(id);
    }

    void reconnect(const core::upstream_id& id) { hosts.agents[id] = std::move(disconnected_.at(id)); }

    testing::packet_outcome send(const routing::packet_info& packet)
    {
        const auto route = router_.select(packet, hosts.now);
        REQUIRE(route);
        auto header = simulated_hosts::header(*table_, *route);
        header.asked = route->asked;
        return hosts.forward_until_decided(packet, header);
    }

    core::upstream_id first_candidate(const routing::packet_info& packet)
    {
        return router_.select(packet, hosts.now)->members->members.front().id;
    }

    simulated_hosts hosts;

private:
    std::shared_ptr<const routing::forwarding_table> table_;
    routing::chain_router router_;
    std::map<core::upstream_id, std::unique_ptr<routing::flow_agent>> disconnected_;
};

routing::packet_info syn(std::uint32_t caller, std::uint32_t syn_retransmissions)
{
    auto result = simulated_hosts::packet(caller, packet_kind::syn);
    result.syn_retransmissions = syn_retransmissions;
    result.is_first = syn_retransmissions == 0;
    return result;
}

} // namespace

// No probe may be sent before a SYN is retransmitted, and the loss of one or two datagrams must not move flows.
TEST_CASE("an agent is unreachable only after several probes without an answer")
{
    reachability_monitor it;
    CHECK(it.take_due_probes(start).empty());
    CHECK_FALSE(it.next_probe_at());
    it.start_probing({member(1), member(2)}, start);
    CHECK(it.take_due_probes(start).size() == 2);
    it.on_answer(member(2).id, start + 5ms);
    CHECK(it.take_due_probes(start + 79ms).empty());
    CHECK(it.take_due_probes(start + 80ms) == std::vector{member(1).packet_endpoint});
    CHECK(it.take_due_probes(start + 160ms).size() == 1);
    CHECK(it.unreachable().empty());
    CHECK(it.take_due_probes(start + 240ms).size() == 1);
    CHECK(it.unreachable() == routing::unreachable_set{member(1).id});
}

// Without further probes, an agent would get no flows any more after it has become reachable again.
TEST_CASE("an unreachable agent is probed until it answers")
{
    reachability_monitor it;
    it.start_probing({member(1)}, start);
    auto now = start;
    for (int i = 0; i < 20; ++i) {
        it.take_due_probes(now);
        now = *it.next_probe_at();
    }
    CHECK(it.unreachable().size() == 1);
    CHECK(*it.next_probe_at() - now <= 250ms);
    it.on_answer(member(1).id, now);
    CHECK(it.unreachable().empty());
    CHECK_FALSE(it.next_probe_at());
}

// Between its planned stop and its start, an agent loses the new flows that are sent to it.
TEST_CASE("an agent that stops is unreachable at once, until its next answer")
{
    reachability_monitor it;
    it.on_answer(member(1).id, start);
    it.on_stopping(member(1), start);
    CHECK(it.unreachable() == routing::unreachable_set{member(1).id});
    CHECK(it.take_due_probes(start + 249ms).empty());
    CHECK(it.take_due_probes(start + 250ms).size() == 1);
    it.on_answer(member(1).id, start + 251ms);
    CHECK(it.unreachable().empty());
}

// Under overload callers retransmit every SYN although all agents are reachable. This must not cause a flood of probes.
TEST_CASE("an agent that has answered recently is not probed again")
{
    reachability_monitor it;
    std::size_t probes = 0;
    for (auto now = start; now < start + 10s; now += 20ms) {
        it.start_probing({member(1), member(2), member(3)}, now);
        for (const auto& to : it.take_due_probes(now)) {
            ++probes;
            it.on_answer(core::make_upstream_id(to.port, 0), now + 1ms);
        }
    }
    CHECK(probes <= 60);
}

// Upstreams that are gone never answer, so they would be probed for ever.
TEST_CASE("an upstream that is no longer reachable according to the table is not probed any more")
{
    simulated_hosts hosts(2);
    reachability_monitor it;
    it.start_probing({hosts.members[0].target, hosts.members[1].target}, start);
    hosts.members[0].reachable = false;
    it.remove_missing(*hosts.make_table());
    CHECK(it.take_due_probes(start) == std::vector{hosts.members[1].target.packet_endpoint});
}

TEST_CASE("a reordered chain has the same members, the reachable ones first")
{
    const routing::chain chain{{member(1), member(2), member(3), member(4)}, 3, false};
    CHECK_FALSE(routing::reorder_by_reachability(chain, {}));
    CHECK_FALSE(routing::reorder_by_reachability(chain, {member(9).id}));
    const auto reordered = routing::reorder_by_reachability(chain, {member(1).id, member(4).id});
    REQUIRE(reordered);
    CHECK(reordered->members.members == std::vector{member(2), member(3), member(1), member(4)});
    CHECK(reordered->members.candidates == 2);
    CHECK(reordered->unreachable == 0b1100);
    // When no candidate is reachable, the original order has the better chance of delivery.
    CHECK_FALSE(routing::reorder_by_reachability(chain, {member(1).id, member(2).id, member(3).id}));
}

// New flows to an unreachable agent would be lost until the lease of a crashed agent ends, or for as long as the
// network is cut between the balancer and agents that the control group still reaches.
TEST_CASE("new flows avoid an unreachable agent")
{
    partitioned_balancer balancer(6);
    const auto unreachable = balancer.first_candidate(syn(1, 0));
    balancer.disconnect(unreachable);
    CHECK(balancer.send(syn(1, 0)).action == packet_action::drop);
    balancer.use({unreachable});
    CHECK(balancer.send(syn(1, 1)).action == packet_action::place);
    for (std::uint32_t caller = 2; caller < 200; ++caller) {
        const auto end = balancer.send(syn(caller, 0));
        CHECK(end.action == packet_action::place);
        CHECK(end.at != unreachable);
    }
}

// A flow that began on a reordered chain must keep its host when its SYN is retransmitted, and when the unreachable
// agent becomes reachable again.
TEST_CASE("a flow that began on a reordered chain keeps its host")
{
    partitioned_balancer balancer(6);
    balancer.hosts.table_current_until = balancer.hosts.now + 1min;
    const auto unreachable = balancer.first_candidate(syn(1, 0));
    balancer.disconnect(unreachable);
    balancer.use({unreachable});
    const auto began = balancer.send(syn(1, 0));
    REQUIRE(began.action == packet_action::place);
    const auto check_same_host = [&](const routing::packet_info& packet) {
        const auto end = balancer.send(packet);
        CHECK(end.action == packet_action::deliver);
        CHECK(end.at == began.at);
    };
    check_same_host(syn(1, 1));
    check_same_host(simulated_hosts::packet(1, packet_kind::segment));
    balancer.reconnect(unreachable);
    check_same_host(simulated_hosts::packet(1, packet_kind::segment));
    balancer.use({});
    check_same_host(syn(1, 2));
    check_same_host(simulated_hosts::packet(1, packet_kind::segment));
}

// Open flows must not end when only some packets reach their agent.
TEST_CASE("packets of open flows still go to an unreachable agent, after the other members")
{
    partitioned_balancer balancer(6);
    balancer.hosts.table_current_until = balancer.hosts.now + 1min;
    const auto holder = balancer.send(syn(1, 0)).at;
    balancer.use({holder});
    const auto end = balancer.send(simulated_hosts::packet(1, packet_kind::segment));
    CHECK(end.action == packet_action::deliver);
    CHECK(end.at == holder);
}
