#include "ibisdyke/testing/simulated_hosts.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <queue>

using namespace ibisdyke;
using namespace std::chrono_literals;
using routing::packet_action;
using routing::packet_kind;
using routing::packet_reason;
using routing::search_phase;
using testing::simulated_hosts;

namespace {

constexpr std::uint32_t slots = 2;
constexpr auto service_time = 24ms;
constexpr auto latency_target = 100ms;
/// The port of the urgent route, where a test has two routes.
constexpr std::uint16_t urgent_port = 444;

routing::packet_info make_response(const routing::flow_key& flow, packet_kind kind)
{
    routing::packet_info result;
    result.flow = flow;
    result.kind = kind;
    result.has_data = kind == packet_kind::segment;
    return result;
}

/// Simulates in virtual time upstreams with one queue each, and callers that send a SYN and retransmit it if there is
/// no response.
class overload_simulation {
public:
    explicit overload_simulation(std::size_t count)
        : hosts(count)
    {
        hosts.upstreams_return_packets = true;
        hosts.latency_target = latency_target;
        for (const auto& it : hosts.members)
            hosts.admission[it.target.id].slots = slots;
        hosts.update_agents();
    }

    struct outcome_counts {
        std::size_t in_time = 0;
        /// Accepted at the first SYN, with a late response.
        std::size_t late = 0;
        /// Accepted at a retransmitted SYN, so the response is always late.
        std::size_t served_after_retransmission = 0;
        std::size_t refused = 0;
        /// Flows among the refused ones that were rejected at their first SYN.
        std::size_t refused_at_first_syn = 0;

        friend bool operator==(const outcome_counts&, const outcome_counts&) = default;
    };

    /// Adds the urgent route, which 2 of 9 callers use if it has callers.
    void add_urgent_route(std::uint32_t priority, std::uint32_t urgent_priority, bool has_callers = true)
    {
        hosts.route_priorities = {{simulated_hosts::port, priority}, {urgent_port, urgent_priority}};
        hosts.update_agents();
        urgent_of_nine_ = has_callers ? 2 : 0;
    }

    /// Runs one caller for each of these times, at which it sends its first SYN. A refused caller does not retry.
    outcome_counts run(const std::vector<std::chrono::nanoseconds>& arrivals)
    {
        for (std::uint32_t i = 0; i < arrivals.size(); ++i)
            schedule(start_ + arrivals[i], [this, i] { send(i, 0, hosts.now); });
        while (!events_.empty()) {
            auto [time, run_event] = events_.top();
            events_.pop();
            hosts.now = time.first;
            for (const auto& [id, agent] : hosts.agents)
                agent->maintain(hosts.snapshot_of(id), hosts.now);
            run_event();
        }
        return outcomes_[simulated_hosts::port];
    }

    const outcome_counts& urgent_outcomes() { return outcomes_[urgent_port]; }

    simulated_hosts hosts;

private:
    using event = std::pair<std::pair<core::time_point, std::uint64_t>, std::function<void()>>;

    struct is_later {
        bool operator()(const event& a, const event& b) const { return a.first > b.first; }
    };

    void schedule(core::time_point time, const std::function<void()>& run_event)
    {
        events_.push({{time, ++last_event_number_}, run_event});
    }

    void send(std::uint32_t caller, std::uint32_t syn_retransmissions, core::time_point first)
    {
        auto syn = simulated_hosts::packet(caller, packet_kind::syn);
        if (caller % 9 >= 9 - urgent_of_nine_)
            syn.flow.destination_port = urgent_port;
        syn.is_first = syn_retransmissions == 0;
        syn.syn_retransmissions = syn_retransmissions;
        const auto end =
            hosts.send(syn, hosts.table, syn_retransmissions == 0 ? search_phase::place : search_phase::find);
        if (end.action == packet_action::place)
            return serve(end.at, syn, first);
        if (end.action != packet_action::drop || syn_retransmissions >= 2) {
            ++outcomes_[syn.flow.destination_port].refused;
            outcomes_[syn.flow.destination_port].refused_at_first_syn += syn_retransmissions == 0 ? 1 : 0;
            return;
        }
        schedule(first + (syn_retransmissions == 0 ? 200ms : 600ms),
            [this, caller, syn_retransmissions, first] { send(caller, syn_retransmissions + 1, first); });
    }

    void serve(const core::upstream_id& id, const routing::packet_info& syn, core::time_point first)
    {
        auto& free_times = slot_free_times_[id];
        free_times.resize(slots);
        auto& slot = *std::min_element(free_times.begin(), free_times.end());
        slot = std::max(slot, hosts.now) + service_time;
        schedule(slot, [this, id, syn, first] {
            hosts.agents.at(id)->record_response(make_response(syn.flow, packet_kind::segment), hosts.now);
            hosts.agents.at(id)->record_response(make_response(syn.flow, packet_kind::closing), hosts.now);
            const bool in_time = hosts.now - first <= latency_target;
            auto& outcomes = outcomes_[syn.flow.destination_port];
            ++(syn.syn_retransmissions > 0 ? outcomes.served_after_retransmission
                    : in_time              ? outcomes.in_time
                                           : outcomes.late);
        });
    }

    core::time_point start_{1h};
    std::priority_queue<event, std::vector<event>, is_later> events_;
    std::uint64_t last_event_number_ = 0;
    std::map<core::upstream_id, std::vector<core::time_point>> slot_free_times_;
    /// By the port of the callers' route.
    std::map<std::uint16_t, outcome_counts> outcomes_;
    std::uint32_t urgent_of_nine_ = 0;
};

/// Returns arrival times at a constant rate.
std::vector<std::chrono::nanoseconds> make_arrivals(std::size_t count, std::chrono::nanoseconds duration)
{
    std::vector<std::chrono::nanoseconds> result;
    for (std::size_t i = 0; i < count; ++i)
        result.push_back(duration * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(count));
    return result;
}

} // namespace

// Replays the load after a recovery: for a second, twice as many flows begin as the upstreams can serve. Without
// refusals, the queues would delay every response past the latency target.
TEST_CASE("under twice the upstreams' capacity, accepted flows are served in time")
{
    overload_simulation simulation(7);
    const auto capacity = std::int64_t{7} * slots * (1s / service_time);
    const auto outcomes = simulation.run(make_arrivals(static_cast<std::size_t>(2 * capacity), 1s));
    CHECK(outcomes.in_time > static_cast<std::size_t>(capacity * 9 / 10));
    CHECK(outcomes.late < static_cast<std::size_t>(capacity / 20));
    CHECK(outcomes.refused + outcomes.served_after_retransmission > static_cast<std::size_t>(capacity * 8 / 10));
}

// Replays a shorter peak. Callers that can be served a little later must not be refused.
TEST_CASE("after a short peak of twice the capacity, most of the excess is served at a retransmitted SYN")
{
    overload_simulation simulation(7);
    const auto capacity = std::int64_t{7} * slots * (1s / service_time);
    const auto outcomes = simulation.run(make_arrivals(static_cast<std::size_t>(capacity), 500ms));
    const auto excess = static_cast<std::size_t>(capacity / 2);
    CHECK(outcomes.in_time > excess * 9 / 10);
    CHECK(outcomes.late < excess / 20);
    CHECK(outcomes.served_after_retransmission > excess / 2);
}

// Replays a sustained overload. Once the upstreams have had no free slot for 600 ms, the excess must be refused at its
// first SYN. Otherwise callers would wait 600 ms in vain.
TEST_CASE("under a sustained overload the excess is refused at the first SYN")
{
    overload_simulation simulation(7);
    const auto capacity = std::int64_t{7} * slots * (1s / service_time);
    const auto outcomes = simulation.run(make_arrivals(static_cast<std::size_t>(2 * capacity * 4), 4s));
    CHECK(outcomes.in_time > static_cast<std::size_t>(4 * capacity * 9 / 10));
    CHECK(outcomes.late < static_cast<std::size_t>(4 * capacity / 20));
    CHECK(outcomes.refused_at_first_syn > static_cast<std::size_t>(3 * capacity * 8 / 10));
}

// Replays the return of all callers after a loss of power everywhere. The agents have seen no response yet and must not
// take every flow: each response would be late, and so would those of the callers who come next.
TEST_CASE("before the first response, upstreams get no more flows than they can serve in time")
{
    overload_simulation simulation(7);
    auto arrivals = make_arrivals(400, 20ms);
    const auto outcomes = simulation.run(arrivals);
    const auto served_in_time = std::size_t{7} * slots * (latency_target / 2 / service_time);
    CHECK(outcomes.in_time >= served_in_time);
    CHECK(outcomes.late < std::size_t{7} * slots / 2);
}

// Replays a cut between the failure domains of two agents, while the balancer reaches both: a SYN that the first
// candidate passes on is lost. The retransmitted SYN must be placed where the balancer's packets of the flow arrive as
// well. When it went to the second candidate directly, the flow opened there, its data was lost on the way over the
// first one, and the caller's time ran out.
TEST_CASE("a SYN that was passed on and not answered is placed by the agent that passed it on")
{
    simulated_hosts hosts(6);
    hosts.upstreams_return_packets = true;
    for (const auto& it : hosts.members)
        hosts.admission[it.target.id].slots = slots;
    hosts.update_agents();
    std::size_t passed_on = 0;
    for (std::uint32_t caller = 0; caller < 300; ++caller) {
        auto syn = simulated_hosts::packet(caller, packet_kind::syn);
        syn.is_first = true;
        syn.may_be_placed_twice = true;
        const auto chain = *hosts.table->find_chain(simulated_hosts::service, routing::bucket_of_flow(syn.flow));
        const auto cut_off = chain.members[1].id;
        auto agent = std::move(hosts.agents.at(cut_off));
        hosts.agents.erase(cut_off);
        const auto first = hosts.send(syn, hosts.table, search_phase::place);
        if (first.action == packet_action::drop) {
            ++passed_on;
            REQUIRE(first.at == cut_off);
            syn.is_first = false;
            syn.syn_retransmissions = 1;
            const auto second = hosts.send(syn, hosts.table, search_phase::place);
            CHECK(second.action == packet_action::place);
            CHECK(second.at == chain.members[0].id);
            const auto data = hosts.send(simulated_hosts::packet(caller, packet_kind::segment), hosts.table);
            CHECK(data.action == packet_action::deliver);
            CHECK(data.at == second.at);
        }
        hosts.agents[cut_off] = std::move(agent);
        const auto end = first.action == packet_action::place ? first.at : chain.members[0].id;
        hosts.agents.at(end)->record_response(make_response(syn.flow, packet_kind::segment), hosts.now);
    }
    CHECK(passed_on > 20);
}

// Flows must not be refused while the upstreams have free capacity.
TEST_CASE("below the upstreams' capacity each flow is served in time at its first SYN")
{
    overload_simulation simulation(7);
    const auto capacity = std::int64_t{7} * slots * (1s / service_time);
    const auto outcomes = simulation.run(make_arrivals(static_cast<std::size_t>(capacity * 7 / 10), 1s));
    CHECK(outcomes.refused == 0);
    CHECK(outcomes.served_after_retransmission == 0);
    CHECK(outcomes.late == 0);
}

// Flows must not all go to the first candidate of their bucket while another candidate is idle.
TEST_CASE("a flow goes to a candidate with a free slot, or else to the least loaded one")
{
    simulated_hosts hosts(3);
    for (const auto& it : hosts.members)
        hosts.admission[it.target.id].slots = slots;
    hosts.update_agents();
    std::map<core::upstream_id, std::size_t> placed;
    std::size_t fewest = 0;
    for (std::uint32_t caller = 0; caller < 60; ++caller) {
        auto syn = simulated_hosts::packet(caller, packet_kind::syn);
        syn.is_first = true;
        const auto end = hosts.send(syn, hosts.table, search_phase::place);
        REQUIRE(end.action == packet_action::place);
        ++placed[end.at];
        hosts.update_mean();
    }
    fewest = std::min_element(placed.begin(), placed.end(), [](const auto& a, const auto& b) {
        return a.second < b.second;
    })->second;
    CHECK(placed.size() == 3);
    CHECK(fewest >= 18);
}

// Callers that have waited past the latency target must not take slots from callers that can still be served in time.
TEST_CASE("a retransmitted SYN waits while no slot is free, and the last retransmission is refused")
{
    simulated_hosts hosts(1);
    hosts.admission[hosts.members[0].target.id].slots = 1;
    hosts.update_agents();
    auto syn = simulated_hosts::packet(1, packet_kind::syn);
    syn.is_first = true;
    CHECK(hosts.send(syn, hosts.table, search_phase::place).action == packet_action::place);
    auto retransmitted = simulated_hosts::packet(2, packet_kind::syn);
    retransmitted.syn_retransmissions = 1;
    const auto yielded = hosts.send(retransmitted, hosts.table);
    CHECK(yielded.action == packet_action::drop);
    CHECK(yielded.reason == packet_reason::yields);
    retransmitted.syn_retransmissions = 2;
    CHECK(hosts.send(retransmitted, hosts.table).action == packet_action::reject);
    hosts.agents.at(hosts.members[0].target.id)
        ->record_response(make_response(syn.flow, packet_kind::segment), hosts.now);
    CHECK(hosts.send(retransmitted, hosts.table).action == packet_action::place);
}

// Replays an upstream that resets every request although it reports that it is healthy. It must get few new flows while
// it fails, and its share of them once it works again.
TEST_CASE("new flows avoid an upstream that resets its requests")
{
    simulated_hosts hosts(3);
    for (const auto& it : hosts.members)
        hosts.admission[it.target.id].slots = slots;
    hosts.update_agents();
    const auto failing = hosts.members[0].target.id;
    bool fails = true;
    std::uint32_t caller = 0;
    // Starts a flow with one request every 5 ms. Returns how many flows went to the failing upstream.
    const auto run_load = [&](core::milliseconds duration) {
        std::size_t flows_to_failing = 0;
        for (const auto end_of_load = hosts.now + duration; hosts.now < end_of_load; hosts.now += 5ms) {
            auto syn = simulated_hosts::packet(++caller, packet_kind::syn);
            syn.is_first = true;
            const auto end = hosts.send(syn, hosts.table, search_phase::place);
            REQUIRE(end.action == packet_action::place);
            flows_to_failing += end.at == failing ? 1 : 0;
            auto request = simulated_hosts::packet(caller, packet_kind::segment);
            request.has_data = true;
            CHECK(hosts.send(request, hosts.table).at == end.at);
            auto response = make_response(syn.flow, packet_kind::segment);
            response.is_reset = fails && end.at == failing;
            response.has_data = !response.is_reset;
            response.kind = packet_kind::closing;
            hosts.agents.at(end.at)->record_response(response, hosts.now);
            for (const auto& [id, agent] : hosts.agents)
                agent->maintain(hosts.snapshot_of(id), hosts.now);
            hosts.update_mean();
        }
        return flows_to_failing;
    };
    // Of 3,000 flows, a third would go there without the failure detector.
    CHECK(run_load(15s) < 30);
    fails = false;
    run_load(10s);
    CHECK(run_load(5s) > 200);
}

// Replays a SYN that is lost on its way to the last candidate, which joined recently and has few flows. This candidate
// is full when the SYN is retransmitted. The redirect entries of the first SYN must not lead the retransmission past
// candidates with free slots.
TEST_CASE("a copy of a SYN is offered to all candidates again")
{
    simulated_hosts hosts(3);
    for (const auto& it : hosts.members)
        hosts.admission[it.target.id].slots = slots;
    hosts.update_agents();
    const auto place_at = [&](const routing::chain_member& target, std::uint32_t caller) {
        routing::packet_header header;
        header.table = hosts.table->at();
        header.service = simulated_hosts::service;
        header.chain = {{target.id, target.packet_endpoint}};
        header.candidates = 1;
        header.phase = search_phase::place;
        const auto syn = simulated_hosts::packet(caller, packet_kind::syn);
        REQUIRE(hosts.forward_until_decided(syn, header).action == packet_action::place);
        return syn.flow;
    };
    auto syn = simulated_hosts::packet(1, packet_kind::syn);
    const auto bucket = routing::bucket_of_flow(syn.flow);
    const auto candidates = hosts.table->find_chain(simulated_hosts::service, bucket)->members;
    for (std::uint32_t i = 0; i < 10; ++i) {
        const auto& target = candidates[i % 2];
        const auto flow = place_at(target, 100 + i);
        hosts.agents.at(target.id)->record_response(make_response(flow, packet_kind::segment), hosts.now);
    }
    hosts.update_mean();
    const auto joined = candidates[2];
    auto agent = std::move(hosts.agents.at(joined.id));
    hosts.agents.erase(joined.id);
    syn.is_first = true;
    const auto lost = hosts.send(syn, hosts.table, search_phase::place);
    REQUIRE(lost.action == packet_action::drop);
    REQUIRE(lost.at == joined.id);
    hosts.agents[joined.id] = std::move(agent);
    for (std::uint32_t i = 0; i < slots; ++i)
        place_at(joined, 200 + i);
    syn.is_first = false;
    syn.syn_retransmissions = 1;
    const auto end = hosts.send(syn, hosts.table);
    CHECK(end.action == packet_action::place);
    CHECK(end.at != joined.id);
}

// Replays a lasting loss of a third of the hosts, with two routes: the one with the most callers must not take the
// places of the urgent one, whatever the two priorities are. It gets the rest of the capacity.
TEST_CASE("under a sustained overload flows of a higher priority are served in time")
{
    const auto [urgent, other] = GENERATE(std::pair{1U, 2U}, std::pair{0U, 7U});
    overload_simulation simulation(7);
    simulation.add_urgent_route(other, urgent);
    const auto capacity = static_cast<std::size_t>(std::int64_t{7} * slots * (4s / service_time));
    const auto outcomes = simulation.run(make_arrivals(capacity * 3 / 2, 4s));
    CHECK(simulation.urgent_outcomes().refused == 0);
    CHECK(simulation.urgent_outcomes().late == 0);
    CHECK(outcomes.in_time + simulation.urgent_outcomes().in_time > capacity * 95 / 100);
}

// Replays the return of all callers after a loss of power: others must not take all places before the urgent callers
// come.
TEST_CASE("in a burst places are left for flows of a higher priority")
{
    const auto urgent_in_time = [](std::uint32_t priority) {
        overload_simulation simulation(7);
        simulation.add_urgent_route(priority, 1);
        simulation.run(make_arrivals(400, 20ms));
        return simulation.urgent_outcomes().in_time;
    };
    CHECK(urgent_in_time(2) > urgent_in_time(1) * 3 / 2);
}

// A route without callers must not take places from the others.
TEST_CASE("an urgent route without callers changes nothing")
{
    overload_simulation alone(7);
    overload_simulation beside(7);
    beside.add_urgent_route(2, 1, false);
    CHECK(beside.run(make_arrivals(1000, 1s)) == alone.run(make_arrivals(1000, 1s)));
}
