#include "ibisdyke/routing/chain_router.h"
#include "ibisdyke/routing/flow_agent.h"
#include "ibisdyke/routing/flow_search.h"
#include "ibisdyke/routing/wire/codec.h"
#include "ibisdyke/testing/simulated_hosts.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace ibisdyke;
using namespace std::chrono_literals;
using routing::packet_action;
using routing::packet_kind;
using routing::packet_reason;
using testing::simulated_hosts;

namespace {

constexpr routing::public_address route_address{
    {simulated_hosts::address, simulated_hosts::port}, routing::ip_protocol::tcp};

/// Several services with upstreams behind one route. The first one takes all new flows, the others are earlier targets.
class service_search {
public:
    service_search(std::size_t services, std::size_t upstreams_each, bool are_targets)
    {
        routing::flow_route route{route_address, {}, {}, 0ms};
        for (std::size_t i = 0; i < services; ++i) {
            const core::service_id id(100 + i);
            auto& service = services_.emplace_back(routing::service_members{id, "s" + std::to_string(i), {}, {}});
            for (std::size_t n = 0; n < upstreams_each; ++n)
                service.members.push_back(make_member());
            if (i == 0 || are_targets)
                route.targets.push_back({id, i == 0 ? 100U : 0U});
            else
                route.former_targets.insert(route.former_targets.begin(), id);
        }
        table_ = routing::routing_table::create({1, 10}, services_, nullptr, {{route}, {}});
    }

    /// Lets each upstream take new flows for one version only, the last one at present, so that all may hold flows of
    /// each bucket.
    void replace_upstreams_one_by_one()
    {
        auto& members = services_.front().members;
        for (std::uint64_t n = 0; n < members.size(); ++n) {
            members[n].eligible = n + 1 == members.size();
            members[n].history = {{{1, n + 1}, std::nullopt}};
            if (!members[n].eligible)
                members[n].history.front().to = core::version{1, n + 2};
        }
        table_ = routing::routing_table::create({1, members.size() + 1}, services_, nullptr,
            {{{route_address, {{services_.front().id, 100}}, {}, 0ms}}, {}});
    }

    /// Sends a packet of a flow that `holder` holds, through the agents. Returns the decision at the end of its way.
    routing::packet_decision send(const core::upstream_id& holder)
    {
        const auto packet = simulated_hosts::packet(1, packet_kind::segment);
        const auto bucket = routing::bucket_of_flow(packet.flow);
        const auto first = services_.front().id;
        routing::packet_header header;
        header.table = table_->at();
        routing::detail::reset_search(header, first, *table_->find_chain(first, bucket));
        std::set<core::upstream_id> visited;
        for (visits = 1; visits < max_visits; ++visits) {
            const auto id = header.chain[header.position].id;
            at = id;
            CHECK((visited.insert(id).second || late_table_));
            auto& agent =
                agents_.try_emplace(id, routing::flow_limits{}, 1000, routing::rejection_limits{}).first->second;
            const bool is_late = late_table_ && id.value() % 2 == 0;
            auto snapshot = make_snapshot(id, header.service, is_late ? late_table_ : table_);
            if (late_table_)
                snapshot.table_current_until = {};
            if (id == holder)
                begin_flow(agent, id, header.service);
            auto decision = agent.decide(packet, header, snapshot, now_);
            if (decision.action != packet_action::forward)
                return decision;
            // Agents exchange the encoded header.
            header = routing::wire::decode_packet_header(routing::wire::encode(*decision.next));
            max_header_bytes = std::max(max_header_bytes, routing::wire::encode(header).size());
        }
        return {packet_action::drop, packet_reason::too_many_hops, std::nullopt};
    }

    static constexpr std::size_t max_visits = 10'000;

    /// Gives half of the agents a table in which some upstreams cannot be reached.
    void delay_tables(std::uint32_t seed)
    {
        std::mt19937 random(seed);
        auto services = services_;
        for (auto& it : services.front().members)
            it.reachable = random() % 3 != 0;
        late_table_ = routing::routing_table::create(
            table_->at(), services, nullptr, {{{route_address, {{services_.front().id, 100}}, {}, 0ms}}, {}});
    }

    std::vector<routing::service_members> services_;
    std::shared_ptr<const routing::routing_table> table_;
    std::shared_ptr<const routing::routing_table> late_table_;
    core::upstream_id at;
    std::size_t visits = 0;
    std::size_t max_header_bytes = 0;

private:
    routing::member make_member()
    {
        routing::member result;
        const auto n = ++next_upstream_;
        result.target.id = core::upstream_id(n);
        result.target.packet_endpoint = {0x0a00'0000 + static_cast<std::uint32_t>(n), 7000};
        result.eligible = true;
        result.reachable = true;
        result.history = {{{1, 1}, std::nullopt}};
        return result;
    }

    /// Begins the flow at an agent, with an earlier table in which its service is the only target of the route.
    void begin_flow(routing::flow_agent& agent, const core::upstream_id& id, const core::service_id& service) const
    {
        const auto earlier = routing::routing_table::create(
            {1, 5}, services_, nullptr, {{{route_address, {{service, 1}}, {}, 0ms}}, {}});
        const auto snapshot = make_snapshot(id, service, earlier);
        auto syn = simulated_hosts::packet(1, packet_kind::syn);
        syn.is_first = true;
        auto header = *routing::flow_agent::make_header(syn, snapshot);
        header.phase = routing::search_phase::assign;
        REQUIRE(agent.decide(syn, header, snapshot, now_).action == packet_action::place);
    }

    routing::agent_snapshot make_snapshot(const core::upstream_id& id, const core::service_id& service,
        const std::shared_ptr<const routing::routing_table>& table) const
    {
        routing::agent_snapshot result;
        result.self = id;
        result.service = service;
        result.applied = table->at();
        result.table = table;
        result.members = table->find_service(service);
        result.table_current_until = now_ + 1s;
        result.upstream_returns_packets = true;
        return result;
    }

    std::uint64_t next_upstream_ = 0;
    std::map<core::upstream_id, routing::flow_agent> agents_;
    core::time_point now_{100s};
};

} // namespace

// One change of weights reset the flows of one of eight services, because a search ended after a fixed number of
// services. A flow must be found in any service of its route, and the header must not grow with their number.
TEST_CASE("a flow is found in every service that its route has or had")
{
    const auto services = GENERATE(2U, 7U, 8U, 9U, 10U, 17U, 60U);
    const auto upstreams = GENERATE(1U, 3U);
    const auto are_targets = GENERATE(false, true);
    CAPTURE(services, upstreams, are_targets);
    service_search plain(services, upstreams, are_targets);
    for (const auto& service : plain.services_) {
        service_search it(services, upstreams, are_targets);
        const auto holder = service.members.back().target.id;
        const auto end = it.send(holder);
        CAPTURE(service.name, static_cast<int>(end.reason), it.visits);
        CHECK(end.action == packet_action::deliver);
        CHECK(it.at == holder);
        CHECK(it.max_header_bytes < 500);
    }
}

// A header lists 24 upstreams. The flows of a holder behind them were rejected, although the holder was alive: holders
// become that many when upstreams are replaced one after the other while long flows stay open.
TEST_CASE("a flow is found at every upstream that may hold it, however many they are")
{
    const auto upstreams = GENERATE(values<std::size_t>({24, 25, 49, 136}));
    for (std::size_t n = 0; n < upstreams; n += 3) {
        service_search it(1, upstreams, true);
        it.replace_upstreams_one_by_one();
        const auto holder = it.services_.front().members[n].target.id;
        const auto end = it.send(holder);
        CAPTURE(upstreams, n, static_cast<int>(end.reason), it.visits);
        CHECK(end.action == packet_action::deliver);
        CHECK(it.at == holder);
        CHECK(it.max_header_bytes < 600);
    }
}

// The search of a large service must end, and ask each upstream once.
TEST_CASE("a flow that no upstream of a large service holds is rejected after all were asked")
{
    const auto upstreams = GENERATE(values<std::size_t>({24, 25, 49, 136}));
    CAPTURE(upstreams);
    service_search it(1, upstreams, true);
    it.replace_upstreams_one_by_one();
    const auto end = it.send(core::upstream_id(0));
    CHECK(end.action == packet_action::reject);
    CHECK(end.reason == packet_reason::unknown_flow);
    CHECK(it.visits == upstreams);
}

// Agents with different tables search in different orders. They must not pass a packet to and fro without end.
TEST_CASE("a search ends although the agents have different tables")
{
    for (std::uint32_t seed = 0; seed < 60; ++seed) {
        service_search it(1, 136, true);
        it.replace_upstreams_one_by_one();
        it.delay_tables(seed);
        const auto end = it.send(core::upstream_id(0));
        CAPTURE(seed);
        CHECK(it.visits < service_search::max_visits);
        CHECK(end.reason == packet_reason::unknown_flow);
    }
}

// Callers of a flow that no upstream holds must get an answer, after each upstream was asked once.
TEST_CASE("a flow that no service holds is rejected after all were searched")
{
    const auto services = GENERATE(values<std::size_t>({1, 8, 9, 30}));
    CAPTURE(services);
    service_search it(services, 2, false);
    const auto end = it.send(core::upstream_id(0));
    CHECK(end.action == packet_action::reject);
    CHECK(end.reason == packet_reason::unknown_flow);
    CHECK(it.visits == 2 * services);
}

// A plan may move a route to a service that has no upstreams yet. Packets of open flows must still reach the earlier
// ones.
TEST_CASE("packets of open flows are sent to an earlier target while the new one has no upstreams")
{
    service_search it(3, 2, false);
    auto services = it.services_;
    services.front().members.clear();
    routing::flow_route route{route_address, {{services[0].id, 1}}, {services[1].id, services[2].id}, 0ms};
    const auto chains = routing::routing_table::create({1, 11}, services, nullptr, {{route}, {}});
    const auto index = chains->find_holder(simulated_hosts::packet(1, packet_kind::segment).flow);
    REQUIRE(index != routing::routing_table::no_service);
    CHECK(chains->services()[index]->service().id == services[1].id);
    routing::chain_router router;
    const auto now = core::time_point{100s};
    router.set_table(routing::forwarding_table::create(chains, nullptr, now));
    const auto segment = router.select(simulated_hosts::packet(1, packet_kind::segment), now);
    REQUIRE(segment);
    CHECK(segment->service == index);
    CHECK_FALSE(router.select(simulated_hosts::packet(1, packet_kind::syn), now));
}
