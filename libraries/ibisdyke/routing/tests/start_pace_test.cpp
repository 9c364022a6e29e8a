#include "ibisdyke/routing/start_pace.h"

#include "ibisdyke/routing/recovery_probe.h"
#include "ibisdyke/testing/simulated_hosts.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace ibisdyke;
using namespace std::chrono_literals;
using routing::packet_action;
using routing::packet_kind;
using routing::search_phase;
using routing::start_cause;
using routing::start_outcome;
using routing::start_pace;
using testing::simulated_hosts;

namespace {

constexpr core::time_point start_time{1h};
constexpr std::uint32_t slots = 4;
constexpr auto service_time = 40ms;

routing::upstream_condition ready_upstream(std::uint64_t run = 1, std::uint32_t slot_count = slots)
{
    return {core::incarnation(run), /*is_paced=*/true, /*accepts_new_flows=*/true, /*failing=*/false, slot_count};
}

/// Hosts of which some start at the begin of the test, with one queue each, in virtual time.
class starting_hosts {
public:
    starting_hosts(std::size_t count, std::size_t starting, double slow_factor, core::milliseconds slow_time)
        : hosts(count)
        , slow_factor_(slow_factor)
        , slow_until_(hosts.now + slow_time)
    {
        hosts.upstreams_return_packets = true;
        hosts.latency_target = 300ms;
        for (const auto& it : hosts.members) {
            hosts.admission[it.target.id] = {.slots = slots, .paces_starts = starting_.size() < starting};
            if (starting_.size() < starting)
                starting_.insert(it.target.id);
        }
        hosts.update_agents();
    }

    /// Begins a flow with one request at each interval, and answers the requests that are due.
    void run(std::chrono::nanoseconds interval, core::milliseconds duration)
    {
        for (const auto end = hosts.now + duration; hosts.now < end; hosts.now += interval) {
            respond();
            auto syn = simulated_hosts::packet(++caller_, packet_kind::syn);
            syn.is_first = true;
            const auto outcome = hosts.send(syn, hosts.table, search_phase::place);
            if (outcome.action == packet_action::place) {
                serve(outcome.at, syn.flow);
                continue;
            }
            ++refused;
            refused_with_free_slot += has_free_slot() ? 1 : 0;
        }
    }

    bool is_starting(const core::upstream_id& id) { return hosts.agents.at(id)->start_limit().has_value(); }

    simulated_hosts hosts;
    /// Whether flows end with the response to their request.
    bool closes_flows = true;
    std::size_t refused = 0;
    /// Refused while an upstream had a free slot.
    std::size_t refused_with_free_slot = 0;
    std::map<core::upstream_id, std::size_t> placed;
    std::map<core::upstream_id, std::size_t> max_in_progress;

private:
    void serve(const core::upstream_id& id, const routing::flow_key& flow)
    {
        auto& free_times = slot_free_times_[id];
        free_times.resize(slots);
        auto& slot = *std::min_element(free_times.begin(), free_times.end());
        const bool slow = starting_.contains(id) && hosts.now < slow_until_;
        const std::chrono::duration<double, std::nano> needed = service_time * (slow ? slow_factor_ : 1.0);
        slot = std::max(slot, hosts.now) + std::chrono::duration_cast<std::chrono::nanoseconds>(needed);
        due_.emplace(slot, std::pair(id, flow));
        ++placed[id];
        max_in_progress[id] = std::max(max_in_progress[id], ++in_progress_[id]);
    }

    bool has_free_slot()
    {
        return std::any_of(hosts.members.begin(), hosts.members.end(),
            [this](const auto& it) { return in_progress_[it.target.id] < slots; });
    }

    void respond()
    {
        for (; !due_.empty() && due_.begin()->first <= hosts.now; due_.erase(due_.begin())) {
            const auto& [time, request] = *due_.begin();
            routing::packet_info response;
            response.flow = request.second;
            response.kind = packet_kind::segment;
            response.has_data = true;
            hosts.agents.at(request.first)->record_response(response, time);
            response.kind = packet_kind::closing;
            if (closes_flows)
                hosts.agents.at(request.first)->record_response(response, time);
            --in_progress_[request.first];
        }
        for (const auto& [id, agent] : hosts.agents)
            agent->maintain(hosts.snapshot_of(id), hosts.now);
        hosts.update_mean();
    }

    double slow_factor_;
    core::time_point slow_until_;
    std::set<core::upstream_id> starting_;
    std::map<core::upstream_id, std::vector<core::time_point>> slot_free_times_;
    std::multimap<core::time_point, std::pair<core::upstream_id, routing::flow_key>> due_;
    std::map<core::upstream_id, std::size_t> in_progress_;
    std::uint32_t caller_ = 0;
};

} // namespace

// Replays a host that joins without open flows among hosts whose flows stay open, and is 1.6 times slower for 2 s.
// Balance by open flows gives it every new flow. It must not get more requests than it is known to serve, and has to
// get its share in the end.
TEST_CASE("a slow starter is not flooded")
{
    starting_hosts simulation(5, 1, 1.6, 3s);
    const auto starter = simulation.hosts.members.front().target.id;
    simulation.closes_flows = false;
    simulation.hosts.admission[starter].accepts_new_flows = false;
    simulation.run(5ms, 1s);
    simulation.hosts.admission[starter].accepts_new_flows = true;
    simulation.run(5ms, 60ms);
    REQUIRE(simulation.is_starting(starter));
    CHECK(simulation.placed[starter] == start_pace::max_initial_limit);
    simulation.run(5ms, 2s);
    CHECK(simulation.max_in_progress[starter] <= slots);
    CHECK_FALSE(simulation.is_starting(starter));
    simulation.run(5ms, 2s);
    CHECK(simulation.placed[starter] > 180);
    CHECK(simulation.refused == 0);
}

// A limit that stays low would leave slots of a fast upstream idle while callers wait elsewhere.
TEST_CASE("a fast starter gets its full pace within a few service times")
{
    start_pace pace;
    pace.update(ready_upstream(), start_time);
    auto now = start_time;
    std::size_t served = 0;
    std::size_t rounds = 0;
    for (; pace.is_starting() && rounds < 20; ++rounds) {
        std::size_t in_progress = 0;
        for (; in_progress < slots && pace.excess_per_mille(in_progress, now) == 0; ++in_progress) {
            pace.record_offered_flow(in_progress, 300ms, now);
            pace.record_new_flow(now);
        }
        now += service_time;
        for (; in_progress > 0; --in_progress, ++served)
            pace.record_response(service_time, now);
        // The estimated and the actual service time differ before the first round.
        now += 75ms - service_time;
    }
    CHECK(rounds <= 4);
    CHECK(served >= 8);
    const auto events = pace.take_events();
    REQUIRE(events.size() == 2);
    CHECK(events[0].cause == start_cause::new_run);
    CHECK(events[1].outcome == start_outcome::full_pace);
    CHECK(events[1].best_service_time == service_time);
}

// The first requests must go to the upstream although nothing is known about it yet.
TEST_CASE("before the first response, the initial limit applies")
{
    start_pace pace;
    pace.update(ready_upstream(1, 100), start_time);
    CHECK(pace.limit() == start_pace::max_initial_limit);
    CHECK(pace.excess_per_mille(1, start_time) == 0);
    CHECK(pace.excess_per_mille(2, start_time) == 10);
    pace.update(ready_upstream(2, 1), start_time);
    CHECK(pace.limit() == 1);
    pace.update(ready_upstream(3, 0), start_time);
    CHECK_FALSE(pace.is_starting());
}

// An upstream that stays slower than the latency target asks for must not stay limited for ever.
TEST_CASE("an upstream that stays slow settles")
{
    start_pace pace;
    pace.update(ready_upstream(), start_time);
    pace.record_offered_flow(0, 300ms, start_time);
    auto now = start_time;
    for (int i = 0; i < 32; ++i)
        pace.record_response(200ms, now += 100ms);
    CHECK(pace.limit() == 2);
    for (int i = 0; i < 4; ++i)
        pace.record_response(200ms, now += 100ms);
    CHECK_FALSE(pace.is_starting());
    CHECK(pace.take_events().back().outcome == start_outcome::settled);
}

// The limit must not stay where the agent sees no responses that it can measure.
TEST_CASE("a start without responses expires")
{
    start_pace pace;
    pace.update(ready_upstream(), start_time);
    pace.update(ready_upstream(), start_time + 1h);
    REQUIRE(pace.is_starting());
    pace.record_new_flow(start_time + 1h);
    pace.update(ready_upstream(), start_time + 1h + start_pace::max_duration - 1ms);
    CHECK(pace.is_starting());
    pace.update(ready_upstream(), start_time + 1h + start_pace::max_duration);
    CHECK(pace.take_events().back().outcome == start_outcome::expired);
}

// On the network the FIN of a response in few packets may overtake its data. The pace of a start must not miss the
// response: limits once stayed at their first value on a whole day of such flows.
TEST_CASE("a response counts when its FIN arrives before its data")
{
    simulated_hosts hosts(1);
    hosts.upstreams_return_packets = true;
    const auto id = hosts.members.front().target.id;
    hosts.admission[id] = {.slots = slots, .paces_starts = true};
    hosts.update_agents();
    for (std::uint32_t caller = 0; caller < 8; ++caller) {
        const auto syn = simulated_hosts::packet(caller, packet_kind::syn);
        REQUIRE(hosts.send(syn, hosts.table, search_phase::place).action == packet_action::place);
        auto request = simulated_hosts::packet(caller, packet_kind::segment);
        request.has_data = true;
        hosts.send(request, hosts.table);
        hosts.now += service_time;
        routing::packet_info response;
        response.flow = syn.flow;
        response.kind = packet_kind::closing;
        hosts.agents.at(id)->record_response(response, hosts.now);
    }
    CHECK_FALSE(hosts.agents.at(id)->start_limit().has_value());
}

TEST_CASE("the limit falls when responses slow down or fail")
{
    start_pace pace;
    pace.update(ready_upstream(1, 16), start_time);
    const auto respond = [&](std::chrono::nanoseconds time) {
        for (auto n = std::max(*pace.limit(), 4U); n > 0; --n)
            pace.record_response(time, start_time);
    };
    respond(20ms);
    respond(20ms);
    REQUIRE(pace.limit() == 8);
    respond(40ms);
    CHECK(pace.limit() == 8);
    respond(60ms);
    CHECK(pace.limit() == 4);
    pace.record_failure();
    CHECK(pace.limit() == 2);
    respond(20ms);
    CHECK(pace.limit() == 2);
    respond(20ms);
    CHECK(pace.limit() == 4);
}

// Long flows have few requests in progress, but an upstream without open flows would get every new one.
TEST_CASE("no more flows begin within a service time than the limit allows")
{
    start_pace pace;
    pace.update(ready_upstream(), start_time);
    for (int i = 0; i < 4; ++i)
        pace.record_response(20ms, start_time);
    REQUIRE(pace.limit() == slots);
    auto now = start_time;
    std::size_t begun = 0;
    for (; now < start_time + 100ms; now += 1ms) {
        if (pace.excess_per_mille(0, now) == 0) {
            pace.record_new_flow(now);
            ++begun;
        }
    }
    CHECK(begun == std::size_t{5} * slots);
}

// After a loss of power everywhere, no candidate is ahead of the others. Flows must be taken while a slot is free.
TEST_CASE("no flow is refused while all upstreams start")
{
    starting_hosts simulation(3, 3, 1.6, 2s);
    simulation.run(std::chrono::nanoseconds(service_time) / (3 * slots), 64ms);
    CHECK(simulation.refused == 0);
    std::size_t most = 0;
    for (const auto& [id, n] : simulation.max_in_progress)
        most = std::max(most, n);
    CHECK(most <= std::size_t{2} * slots);
    // 0.8 of the capacity while the upstreams are slow, then twice the capacity.
    simulation.run(std::chrono::nanoseconds(service_time) * 2 / (3 * slots), 1s);
    CHECK(simulation.refused == 0);
    simulation.run(std::chrono::nanoseconds(service_time) / (3 * slots) / 2, 1s);
    CHECK(simulation.refused > 0);
    CHECK(simulation.refused_with_free_slot == 0);
}

// A caller that has sent its SYN again has waited already, and the candidate to which the SYN was passed on may be
// unreachable.
TEST_CASE("a retransmitted SYN is not passed on because of the pace")
{
    simulated_hosts hosts(3);
    hosts.upstreams_return_packets = true;
    for (const auto& it : hosts.members)
        hosts.admission[it.target.id].slots = slots;
    hosts.update_agents();
    auto syn = simulated_hosts::packet(1, packet_kind::syn);
    const auto bucket = routing::bucket_of_flow(syn.flow);
    const auto starter = hosts.table->find_chain(simulated_hosts::service, bucket)->members.front();
    hosts.admission[starter.id].paces_starts = true;
    for (std::uint32_t caller = 100; caller < 100 + start_pace::max_initial_limit; ++caller) {
        routing::packet_header header;
        header.table = hosts.table->at();
        header.service = simulated_hosts::service;
        header.chain = {{starter.id, starter.packet_endpoint}};
        header.candidates = 1;
        header.phase = search_phase::place;
        const auto first = simulated_hosts::packet(caller, packet_kind::syn);
        REQUIRE(hosts.forward_until_decided(first, header).action == packet_action::place);
    }
    hosts.mean_open_flows = 100;
    syn.is_first = true;
    CHECK(hosts.send(syn, hosts.table, search_phase::place).at != starter.id);
    auto retransmitted = simulated_hosts::packet(1, packet_kind::syn);
    retransmitted.flow.source_address += 1;
    while (hosts.table->find_chain(simulated_hosts::service, routing::bucket_of_flow(retransmitted.flow))
               ->members.front()
               .id
        != starter.id)
        ++retransmitted.flow.source_address;
    retransmitted.syn_retransmissions = 1;
    CHECK(hosts.send(retransmitted, hosts.table, search_phase::place).at == starter.id);
}

// Replays an upstream that fails every request for 9 s although it reports that it is healthy: long enough for a pause
// of 8 s. It must get few flows while it fails, and must not be left idle to the end of the pause once it works again.
TEST_CASE("probes find out that a failing upstream has recovered")
{
    simulated_hosts hosts(3);
    const auto failing = hosts.members.front().target.id;
    for (const auto& it : hosts.members)
        hosts.admission[it.target.id] = {.slots = slots, .paces_starts = true};
    hosts.update_agents();
    std::uint32_t caller = 0;
    // Begins a flow with one request every 5 ms. Returns how many flows went to the failing upstream.
    const auto run_load = [&](core::milliseconds duration, bool fails) {
        std::size_t flows = 0;
        for (const auto end = hosts.now + duration; hosts.now < end; hosts.now += 5ms) {
            auto syn = simulated_hosts::packet(++caller, packet_kind::syn);
            syn.is_first = true;
            const auto outcome = hosts.send(syn, hosts.table, search_phase::place);
            REQUIRE(outcome.action == packet_action::place);
            flows += outcome.at == failing ? 1 : 0;
            auto request = simulated_hosts::packet(caller, packet_kind::segment);
            request.has_data = true;
            hosts.send(request, hosts.table);
            routing::packet_info response;
            response.flow = syn.flow;
            response.is_reset = fails && outcome.at == failing;
            response.has_data = !response.is_reset;
            response.kind = packet_kind::closing;
            hosts.agents.at(outcome.at)->record_response(response, hosts.now);
            for (const auto& [id, agent] : hosts.agents)
                agent->maintain(hosts.snapshot_of(id), hosts.now);
            hosts.update_mean();
        }
        return flows;
    };
    CHECK(run_load(9s, /*fails=*/true) < 20);
    REQUIRE(hosts.agents.at(failing)->is_failing(hosts.now));
    run_load(routing::recovery_probe::interval + 500ms, /*fails=*/false);
    CHECK_FALSE(hosts.agents.at(failing)->is_failing(hosts.now));
    CHECK(run_load(2s, /*fails=*/false) > 80);
}

// The bound that operators set for a cold start is a promise to the upstream. Neither a fast start nor the lack of
// another candidate may exceed it.
TEST_CASE("the configured bound on new flows is never exceeded")
{
    starting_hosts simulation(1, 1, 1.0, 0s);
    const auto id = simulation.hosts.members.front().target.id;
    simulation.hosts.admission[id].new_flows_per_second = 20;
    simulation.hosts.admission[id].burst = 2;
    simulation.run(2ms, 3s);
    CHECK(simulation.placed[id] <= 3 * 20 + 2);
    CHECK(simulation.placed[id] >= 3 * 20 - 2);
}

TEST_CASE("a start begins at a new run, a readmission and a recovery")
{
    start_pace pace;
    auto upstream = ready_upstream();
    pace.update(upstream, start_time);
    upstream.accepts_new_flows = false;
    pace.update(upstream, start_time + 1s);
    CHECK_FALSE(pace.is_starting());
    upstream.accepts_new_flows = true;
    pace.update(upstream, start_time + 2s);
    upstream.failing = true;
    pace.update(upstream, start_time + 3s);
    CHECK_FALSE(pace.is_starting());
    upstream.failing = false;
    pace.update(upstream, start_time + 4s);
    pace.update(upstream, start_time + 5s);
    std::vector<start_cause> causes;
    for (const auto& it : pace.take_events()) {
        if (!it.outcome)
            causes.push_back(it.cause);
    }
    CHECK(causes == std::vector{start_cause::new_run, start_cause::readmission, start_cause::recovery});
}

TEST_CASE("an upstream whose starts are not paced is not limited")
{
    start_pace pace;
    auto upstream = ready_upstream();
    upstream.is_paced = false;
    pace.update(upstream, start_time);
    CHECK_FALSE(pace.is_starting());
    CHECK(pace.excess_per_mille(100, start_time) == 0);
}
