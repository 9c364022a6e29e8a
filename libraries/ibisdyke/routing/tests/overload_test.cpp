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

routing::packet_info answer_to(const routing::flow_key& flow, packet_kind kind)
{
    routing::packet_info result;
    result.flow = flow;
    result.kind = kind;
    result.has_data = kind == packet_kind::segment;
    return result;
}

/// Upstreams with a queue each, in virtual time, and callers that send a SYN and, when nothing answers, its copies.
class loaded_hosts {
public:
    explicit loaded_hosts(std::size_t count)
        : hosts(count)
    {
        hosts.upstreams_disown = true;
        hosts.latency_target = latency_target;
        for (const auto& it : hosts.members)
            hosts.admission[it.target.id].slots = slots;
        hosts.update_agents();
    }

    struct outcome {
        std::size_t in_time = 0;
        /// Taken with its first SYN and answered late.
        std::size_t late = 0;
        /// Taken with a later SYN, so late in any case.
        std::size_t came_again = 0;
        std::size_t refused = 0;
        /// Of those refused, the ones that were told with the answer to their first SYN.
        std::size_t refused_at_once = 0;
    };

    /// Callers whose first SYN is due at these times, and what became of them. A refused caller does not come back.
    outcome run(const std::vector<std::chrono::nanoseconds>& arrivals)
    {
        for (std::uint32_t i = 0; i < arrivals.size(); ++i)
            at(start_ + arrivals[i], [this, i] { send(i, 0, hosts.now); });
        while (!events_.empty()) {
            auto [time, run_event] = events_.top();
            events_.pop();
            hosts.now = time.first;
            for (const auto& [id, agent] : hosts.agents)
                agent->maintain(hosts.facts_of(id), hosts.now);
            run_event();
        }
        return outcome_;
    }

    simulated_hosts hosts;

private:
    using event = std::pair<std::pair<core::time_point, std::uint64_t>, std::function<void()>>;

    struct later {
        bool operator()(const event& a, const event& b) const { return a.first > b.first; }
    };

    void at(core::time_point time, const std::function<void()>& run_event)
    {
        events_.push({{time, ++event_count_}, run_event});
    }

    void send(std::uint32_t caller, std::uint32_t copies, core::time_point first)
    {
        auto syn = simulated_hosts::packet(caller, packet_kind::syn);
        syn.is_first = copies == 0;
        syn.copies = copies;
        const auto end = hosts.send(syn, hosts.table, copies == 0 ? search_phase::place : search_phase::find);
        if (end.action == packet_action::place)
            return serve(end.at, syn, first);
        if (end.action != packet_action::drop || copies >= 2) {
            ++outcome_.refused;
            outcome_.refused_at_once += copies == 0 ? 1 : 0;
            return;
        }
        at(first + (copies == 0 ? 200ms : 600ms), [this, caller, copies, first] { send(caller, copies + 1, first); });
    }

    void serve(const core::upstream_id& id, const routing::packet_info& syn, core::time_point first)
    {
        auto& free = free_at_[id];
        free.resize(slots);
        auto& slot = *std::min_element(free.begin(), free.end());
        slot = std::max(slot, hosts.now) + service_time;
        at(slot, [this, id, syn, first] {
            hosts.agents.at(id)->note_answer(answer_to(syn.flow, packet_kind::segment), hosts.now);
            hosts.agents.at(id)->note_answer(answer_to(syn.flow, packet_kind::closing), hosts.now);
            const bool in_time = hosts.now - first <= latency_target;
            ++(syn.copies > 0 ? outcome_.came_again : in_time ? outcome_.in_time : outcome_.late);
        });
    }

    core::time_point start_{1h};
    std::priority_queue<event, std::vector<event>, later> events_;
    std::uint64_t event_count_ = 0;
    std::map<core::upstream_id, std::vector<core::time_point>> free_at_;
    outcome outcome_;
};

/// Returns arrivals at an even rate.
std::vector<std::chrono::nanoseconds> evenly(std::size_t count, std::chrono::nanoseconds duration)
{
    std::vector<std::chrono::nanoseconds> result;
    for (std::size_t i = 0; i < count; ++i)
        result.push_back(duration * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(count));
    return result;
}

} // namespace

// Replays the load after a recovery: for a second, twice as many flows begin as the upstreams bear. Guards against
// queues that make every answer late.
TEST_CASE("under twice the load that upstreams bear, the flows that are taken are answered in time")
{
    loaded_hosts hosts(7);
    const auto bearable = std::int64_t{7} * slots * (1s / service_time);
    const auto done = hosts.run(evenly(static_cast<std::size_t>(2 * bearable), 1s));
    CHECK(done.in_time > static_cast<std::size_t>(bearable * 9 / 10));
    CHECK(done.late < static_cast<std::size_t>(bearable / 20));
    CHECK(done.refused + done.came_again > static_cast<std::size_t>(bearable * 8 / 10));
}

// Replays a shorter peak. Guards against refusals of callers who can be served a little later.
TEST_CASE("after a short peak of twice the load most of the excess is served with a later SYN")
{
    loaded_hosts hosts(7);
    const auto bearable = std::int64_t{7} * slots * (1s / service_time);
    const auto done = hosts.run(evenly(static_cast<std::size_t>(bearable), 500ms));
    const auto excess = static_cast<std::size_t>(bearable / 2);
    CHECK(done.in_time > excess * 9 / 10);
    CHECK(done.late < excess / 20);
    CHECK(done.came_again > excess / 2);
}

// Replays a load that lasts. Guards against callers who wait for 600 ms for nothing: once the overload has lasted, the
// excess is refused at its first SYN.
TEST_CASE("under a lasting overload the excess is refused at once")
{
    loaded_hosts hosts(7);
    const auto bearable = std::int64_t{7} * slots * (1s / service_time);
    const auto done = hosts.run(evenly(static_cast<std::size_t>(2 * bearable * 4), 4s));
    CHECK(done.in_time > static_cast<std::size_t>(4 * bearable * 9 / 10));
    CHECK(done.late < static_cast<std::size_t>(4 * bearable / 20));
    CHECK(done.refused_at_once > static_cast<std::size_t>(3 * bearable * 8 / 10));
}

// Guards against refusals while there is room.
TEST_CASE("below the load that upstreams bear, hardly a flow is refused")
{
    loaded_hosts hosts(7);
    const auto bearable = std::int64_t{7} * slots * (1s / service_time);
    const auto done = hosts.run(evenly(static_cast<std::size_t>(bearable * 7 / 10), 1s));
    CHECK(done.refused == 0);
    CHECK(done.came_again == 0);
    CHECK(done.late == 0);
}

// Guards against flows that all go to the first candidate of their bucket while another one is idle.
TEST_CASE("a flow goes to a candidate with a free slot, or else to the least loaded")
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

// Guards against callers who have waited past the target and keep the slots from those who can still be answered.
TEST_CASE("a copy of a SYN waits while no slot is free, and its last copy is refused")
{
    simulated_hosts hosts(1);
    hosts.admission[hosts.members[0].target.id].slots = 1;
    hosts.update_agents();
    auto syn = simulated_hosts::packet(1, packet_kind::syn);
    syn.is_first = true;
    CHECK(hosts.send(syn, hosts.table, search_phase::place).action == packet_action::place);
    auto copy = simulated_hosts::packet(2, packet_kind::syn);
    copy.copies = 1;
    const auto waits = hosts.send(copy, hosts.table);
    CHECK(waits.action == packet_action::drop);
    CHECK(waits.reason == packet_reason::yields);
    copy.copies = 2;
    CHECK(hosts.send(copy, hosts.table).action == packet_action::reject);
    hosts.agents.at(hosts.members[0].target.id)->note_answer(answer_to(syn.flow, packet_kind::segment), hosts.now);
    CHECK(hosts.send(copy, hosts.table).action == packet_action::place);
}

// Replays an upstream that resets every request while it says that it is well. Guards against new flows that go on to
// be placed there, and against one that gets none once it works again.
TEST_CASE("new flows are spared an upstream that resets its requests")
{
    simulated_hosts hosts(3);
    for (const auto& it : hosts.members)
        hosts.admission[it.target.id].slots = slots;
    hosts.update_agents();
    const auto failing = hosts.members[0].target.id;
    bool fails = true;
    std::uint32_t caller = 0;
    // A flow every 5 ms with one request each; returns how many went to the failing upstream.
    const auto play = [&](core::milliseconds duration) {
        std::size_t there = 0;
        for (const auto end_of_load = hosts.now + duration; hosts.now < end_of_load; hosts.now += 5ms) {
            auto syn = simulated_hosts::packet(++caller, packet_kind::syn);
            syn.is_first = true;
            const auto end = hosts.send(syn, hosts.table, search_phase::place);
            REQUIRE(end.action == packet_action::place);
            there += end.at == failing ? 1 : 0;
            auto request = simulated_hosts::packet(caller, packet_kind::segment);
            request.has_data = true;
            CHECK(hosts.send(request, hosts.table).at == end.at);
            auto answer = answer_to(syn.flow, packet_kind::segment);
            answer.is_reset = fails && end.at == failing;
            answer.has_data = !answer.is_reset;
            answer.kind = packet_kind::closing;
            hosts.agents.at(end.at)->note_answer(answer, hosts.now);
            for (const auto& [id, agent] : hosts.agents)
                agent->maintain(hosts.facts_of(id), hosts.now);
            hosts.update_mean();
        }
        return there;
    };
    // 3,000 flows; a third of them without the detector.
    CHECK(play(15s) < 30);
    fails = false;
    play(10s);
    CHECK(play(5s) > 200);
}

// Replays a SYN that is lost on its way to the last candidate, which joined lately and has hardly a flow; it is full
// when the copy comes. Guards against a copy that the redirect entries of the first SYN lead past candidates with free
// slots.
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
        REQUIRE(hosts.walk(syn, header).action == packet_action::place);
        return syn.flow;
    };
    auto syn = simulated_hosts::packet(1, packet_kind::syn);
    const auto bucket = routing::bucket_of_flow(syn.flow);
    const auto candidates = hosts.table->find_chain(simulated_hosts::service, bucket)->members;
    for (std::uint32_t i = 0; i < 10; ++i) {
        const auto& target = candidates[i % 2];
        const auto flow = place_at(target, 100 + i);
        hosts.agents.at(target.id)->note_answer(answer_to(flow, packet_kind::segment), hosts.now);
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
    syn.copies = 1;
    const auto end = hosts.send(syn, hosts.table);
    CHECK(end.action == packet_action::place);
    CHECK(end.at != joined.id);
}
