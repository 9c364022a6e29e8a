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

/// A balancer that cannot reach some of the agents: packets that are sent there are lost.
class cut_off_balancer {
public:
    explicit cut_off_balancer(std::size_t count)
        : hosts(count)
    {
        hosts.update_agents();
        use({});
    }

    void use(const routing::unreachable_set& unreachable)
    {
        table_ = routing::forwarding_table::create(hosts.table, table_, hosts.now, unreachable);
        router_.use(table_);
    }

    void lose(const core::upstream_id& id)
    {
        lost_.emplace(id, std::move(hosts.agents.at(id)));
        hosts.agents.erase(id);
    }

    void restore(const core::upstream_id& id) { hosts.agents[id] = std::move(lost_.at(id)); }

    testing::packet_end send(const routing::packet_info& packet)
    {
        const auto route = router_.select(packet, hosts.now);
        REQUIRE(route);
        auto header = simulated_hosts::header(*table_, *route);
        header.asked = route->asked;
        return hosts.walk(packet, header);
    }

    core::upstream_id first_candidate(const routing::packet_info& packet)
    {
        return router_.select(packet, hosts.now)->members->members.front().id;
    }

    simulated_hosts hosts;

private:
    std::shared_ptr<const routing::forwarding_table> table_;
    routing::chain_router router_;
    std::map<core::upstream_id, std::unique_ptr<routing::flow_agent>> lost_;
};

routing::packet_info syn(std::uint32_t caller, std::uint32_t copies)
{
    auto result = simulated_hosts::packet(caller, packet_kind::syn);
    result.copies = copies;
    result.is_first = copies == 0;
    return result;
}

} // namespace

// Guards against probes while all is well, and against flows that move because of one or two lost datagrams.
TEST_CASE("an agent is unreachable only after several probes without an answer")
{
    reachability_monitor it;
    CHECK(it.take_due(start).empty());
    CHECK_FALSE(it.next_due());
    it.suspect({member(1), member(2)}, start);
    CHECK(it.take_due(start).size() == 2);
    it.note_answer(member(2).id, start + 5ms);
    CHECK(it.take_due(start + 79ms).empty());
    CHECK(it.take_due(start + 80ms) == std::vector{member(1).packet_endpoint});
    CHECK(it.take_due(start + 160ms).size() == 1);
    CHECK(it.unreachable().empty());
    CHECK(it.take_due(start + 240ms).size() == 1);
    CHECK(it.unreachable() == routing::unreachable_set{member(1).id});
}

// Guards against an agent that gets no flows again after it has come back.
TEST_CASE("an unreachable agent is probed until it answers")
{
    reachability_monitor it;
    it.suspect({member(1)}, start);
    auto now = start;
    for (int i = 0; i < 20; ++i) {
        it.take_due(now);
        now = *it.next_due();
    }
    CHECK(it.unreachable().size() == 1);
    CHECK(*it.next_due() - now <= 250ms);
    it.note_answer(member(1).id, now);
    CHECK(it.unreachable().empty());
    CHECK_FALSE(it.next_due());
}

// Guards against new flows that are sent to an agent between its planned stop and its start.
TEST_CASE("an agent that stops is unreachable at once, and reachable with its next answer")
{
    reachability_monitor it;
    it.note_answer(member(1).id, start);
    it.note_stop(member(1), start);
    CHECK(it.unreachable() == routing::unreachable_set{member(1).id});
    CHECK(it.take_due(start + 249ms).empty());
    CHECK(it.take_due(start + 250ms).size() == 1);
    it.note_answer(member(1).id, start + 251ms);
    CHECK(it.unreachable().empty());
}

// Guards against a flood of probes under overload, when callers send every SYN again although all agents are there.
TEST_CASE("an agent that has answered lately is not probed again")
{
    reachability_monitor it;
    std::size_t probes = 0;
    for (auto now = start; now < start + 10s; now += 20ms) {
        it.suspect({member(1), member(2), member(3)}, now);
        for (const auto& to : it.take_due(now)) {
            ++probes;
            it.note_answer(core::make_upstream_id(to.port, 0), now + 1ms);
        }
    }
    CHECK(probes <= 60);
}

// Guards against probes without end of upstreams that are gone.
TEST_CASE("an upstream that the table no longer names is not probed any more")
{
    simulated_hosts hosts(2);
    reachability_monitor it;
    it.suspect({hosts.members[0].target, hosts.members[1].target}, start);
    hosts.members[0].reachable = false;
    it.keep_only(*hosts.make_table());
    CHECK(it.take_due(start) == std::vector{hosts.members[1].target.packet_endpoint});
}

TEST_CASE("a detour has the chain's members, those in reach first")
{
    const routing::chain chain{{member(1), member(2), member(3), member(4)}, 3, false};
    CHECK_FALSE(routing::reorder_by_reachability(chain, {}));
    CHECK_FALSE(routing::reorder_by_reachability(chain, {member(9).id}));
    const auto way = routing::reorder_by_reachability(chain, {member(1).id, member(4).id});
    REQUIRE(way);
    CHECK(way->members.members == std::vector{member(2), member(3), member(1), member(4)});
    CHECK(way->members.candidates == 2);
    CHECK(way->unreachable == 0b1100);
    // Without a candidate in reach, the chain as it is has the better chance.
    CHECK_FALSE(routing::reorder_by_reachability(chain, {member(1).id, member(2).id, member(3).id}));
}

// Guards against flows that are lost until the lease of a crashed agent ends, and for as long as a network is cut
// between a balancer and agents that control still sees.
TEST_CASE("new flows go around an agent that cannot be reached")
{
    cut_off_balancer balancer(6);
    const auto lost = balancer.first_candidate(syn(1, 0));
    balancer.lose(lost);
    CHECK(balancer.send(syn(1, 0)).action == packet_action::drop);
    balancer.use({lost});
    CHECK(balancer.send(syn(1, 1)).action == packet_action::place);
    for (std::uint32_t caller = 2; caller < 200; ++caller) {
        const auto end = balancer.send(syn(caller, 0));
        CHECK(end.action == packet_action::place);
        CHECK(end.at != lost);
    }
}

// Guards against a second host for a flow whose SYN comes again, and against a flow that is not found once the agent is
// in reach again.
TEST_CASE("a flow that began on a detour stays where it began")
{
    cut_off_balancer balancer(6);
    balancer.hosts.current_until = balancer.hosts.now + 1min;
    const auto lost = balancer.first_candidate(syn(1, 0));
    balancer.lose(lost);
    balancer.use({lost});
    const auto began = balancer.send(syn(1, 0));
    REQUIRE(began.action == packet_action::place);
    const auto check_found = [&](const routing::packet_info& packet) {
        const auto end = balancer.send(packet);
        CHECK(end.action == packet_action::deliver);
        CHECK(end.at == began.at);
    };
    check_found(syn(1, 1));
    check_found(simulated_hosts::packet(1, packet_kind::segment));
    balancer.restore(lost);
    check_found(simulated_hosts::packet(1, packet_kind::segment));
    balancer.use({});
    check_found(syn(1, 2));
    check_found(simulated_hosts::packet(1, packet_kind::segment));
}

// Guards against the end of open flows at an agent that only some packets reach.
TEST_CASE("packets of open flows still go to an agent that cannot be reached, after the others")
{
    cut_off_balancer balancer(6);
    balancer.hosts.current_until = balancer.hosts.now + 1min;
    const auto holder = balancer.send(syn(1, 0)).at;
    balancer.use({holder});
    const auto end = balancer.send(simulated_hosts::packet(1, packet_kind::segment));
    CHECK(end.action == packet_action::deliver);
    CHECK(end.at == holder);
}
