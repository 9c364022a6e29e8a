#include "ibisdyke/membership/upstream_presence.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

using namespace ibisdyke;
using namespace std::chrono_literals;
using membership::announcement;
using membership::presence;
using membership::upstream_presence;

namespace {

const core::endpoint address{0x0a00'0001, 8080};
const core::time_point start{1h};
constexpr core::milliseconds period = 1s;
constexpr core::milliseconds tick = 100ms;
/// Longest time until a departure notice is decided, with the ticks and announcements in between.
constexpr core::milliseconds decision_time = 2 * period + 2 * tick;

constexpr std::uint64_t former_start_ms = 5000;
constexpr std::uint64_t present_start_ms = 9000;

enum class message_kind : std::uint8_t {
    ready,
    draining,
    departure,
};

struct upstream_message {
    message_kind kind = message_kind::ready;
    std::string id;
    std::uint64_t started_at_ms = 0;
    std::uint64_t sequence = 0;
};

/// The upstream's present run: it announces itself each period, drains and stops.
constexpr core::milliseconds drain_at = 5s;
constexpr core::milliseconds stop_at = 8s;
constexpr core::milliseconds end_at = 16s;
constexpr core::milliseconds no_restart{-1};

/// What arrives besides the messages of the present run, and when.
struct order {
    std::array<message_kind, 3> late_messages{};
    std::array<core::milliseconds, 3> arrivals{};
    /// Whether the present run has the id of the former one.
    bool same_id = true;
    /// When the agent's process restarts; `no_restart` if it does not.
    core::milliseconds restart_at = no_restart;
    /// Whether the record that a restarted process reads names the present run already.
    bool present_run_is_recorded = true;
};

std::string text_of(const order& it)
{
    constexpr std::array names{"ready", "draining", "departure"};
    std::ostringstream result;
    for (std::size_t i = 0; i < it.late_messages.size(); ++i)
        result << names[static_cast<std::size_t>(it.late_messages[i])] << " after " << it.arrivals[i].count()
               << " ms, ";
    result << (it.same_id ? "same id" : "other id") << ", agent restarts after " << it.restart_at.count()
           << " ms, record " << it.present_run_is_recorded;
    return result.str();
}

/// Plays one order of arrival against a presence and checks the states after each tick.
class order_player {
public:
    explicit order_player(order played)
        : played_(std::move(played))
    {
        presence_.set_has_predecessor(false);
        deliver({message_kind::ready, "a", former_start_ms, 69});
    }

    /// Returns the first failure, or an empty string.
    std::string play()
    {
        for (core::milliseconds at{0}; at < end_at && failure_.empty(); at += tick) {
            now_ = start + at;
            if (at == played_.restart_at)
                restart();
            deliver_late_messages(at);
            deliver_present_messages(at);
            presence_.update(now_);
            check(at);
        }
        return failure_;
    }

private:
    std::string present_id() const { return played_.same_id ? "a" : "b"; }

    void deliver(const upstream_message& it)
    {
        if (it.kind == message_kind::departure) {
            presence_.on_departure(it.id, now_);
            return;
        }
        announcement result;
        result.id = it.id;
        result.started_at_ms = it.started_at_ms;
        result.sequence = it.sequence;
        result.service = "desk";
        result.address = address;
        result.draining = it.kind == message_kind::draining;
        presence_.on_announcement(result, now_);
    }

    void deliver_late_messages(core::milliseconds at)
    {
        for (std::size_t i = 0; i < played_.late_messages.size(); ++i) {
            const auto kind = played_.late_messages[i];
            if (at != played_.arrivals[i])
                continue;
            deliver({kind, "a", former_start_ms, 70 + static_cast<std::uint64_t>(kind)});
            if (kind == message_kind::departure)
                undecided_until_ = at + decision_time;
        }
    }

    void deliver_present_messages(core::milliseconds at)
    {
        if (at < stop_at && at % period == 0ms)
            deliver({at < drain_at ? message_kind::ready : message_kind::draining, present_id(), present_start_ms,
                static_cast<std::uint64_t>(at / period + 1)});
        if (at == stop_at)
            deliver({message_kind::departure, present_id(), present_start_ms});
    }

    void restart()
    {
        presence_ = upstream_presence("desk", address, period);
        presence_.on_record({played_.present_run_is_recorded ? present_start_ms : former_start_ms, false}, now_);
        restarted_until_ = played_.restart_at + period + tick;
    }

    void check(core::milliseconds at)
    {
        const auto state = presence_.state(now_);
        const auto expect = [&](bool holds, const char* what) {
            if (!holds)
                failure_ = std::string(what) + ", but is " + std::string(to_string(state)) + " after "
                    + std::to_string(at.count()) + " ms";
        };
        if (at < stop_at)
            expect(state != presence::left, "the present run lives");
        if (at >= drain_at)
            expect(state != presence::ready, "the present run drains or has stopped");
        if (at < drain_at && at >= undecided_until_ && at >= restarted_until_)
            expect(state == presence::ready, "the present run is ready");
        if (at >= stop_at + decision_time)
            expect(state == presence::left, "the present run has stopped");
        if (presence_.latest() && at >= restarted_until_)
            expect(presence_.latest()->started_at_ms == present_start_ms, "the present run is the current one");
    }

    order played_;
    upstream_presence presence_{"desk", address, period};
    core::time_point now_ = start - 10 * period;
    core::milliseconds undecided_until_{0};
    core::milliseconds restarted_until_{0};
    std::string failure_;
};

/// Calls `play` with each order in which the late messages of a former run can arrive.
std::size_t for_each_order(const std::function<void(const order&)>& play)
{
    std::size_t n = 0;
    std::array messages{message_kind::ready, message_kind::draining, message_kind::departure};
    std::vector<core::milliseconds> arrivals;
    for (core::milliseconds it = 400ms; it < 14s; it += 1100ms)
        arrivals.push_back(it);
    const std::vector<core::milliseconds> restarts{no_restart, 300ms, 2500ms, 6500ms};
    do {
        for (std::size_t i = 0; i < arrivals.size(); ++i) {
            for (std::size_t k = i; k < arrivals.size(); ++k) {
                for (std::size_t m = k; m < arrivals.size(); ++m) {
                    for (const auto restart : restarts) {
                        for (const bool same_id : {true, false}) {
                            for (const bool recorded : {true, false}) {
                                play({messages, {arrivals[i], arrivals[k], arrivals[m]}, same_id, restart, recorded});
                                ++n;
                            }
                        }
                    }
                }
            }
        }
    } while (std::next_permutation(messages.begin(), messages.end()));
    return n;
}

announcement announced(std::uint64_t started_at_ms, std::uint64_t sequence, bool draining = false)
{
    announcement result;
    result.id = "a";
    result.started_at_ms = started_at_ms;
    result.sequence = sequence;
    result.service = "desk";
    result.address = address;
    result.draining = draining;
    return result;
}

} // namespace

// Messages of a former run that were held up arrive while a later run announces itself, drains and stops. None of them
// may end the later run, replace it, or bring it back after it has left, in whatever order they arrive.
TEST_CASE("late messages of a former run do not speak for the present run, in any order")
{
    std::size_t failures = 0;
    const auto n = for_each_order([&failures](const order& it) {
        const auto failure = order_player(it).play();
        if (failure.empty())
            return;
        if (++failures <= 5)
            UNSCOPED_INFO(text_of(it) << ": " << failure);
    });
    CHECK(failures == 0);
    CHECK(n == 43'680);
}

// The delayed notice of a run that stopped as planned must not end the next run of the same id.
TEST_CASE("a departure notice of a former run is discarded when the present run goes on")
{
    upstream_presence it{"desk", address, period};
    it.set_has_predecessor(false);
    CHECK(it.on_announcement(announced(5, 70, true), start));
    CHECK(it.on_announcement(announced(9, 1), start + 1s));
    it.on_departure("a", start + 1500ms);
    CHECK(it.is_departure_undecided());
    CHECK(it.state(start + 1500ms) == presence::draining);
    CHECK(it.on_announcement(announced(9, 2), start + 2s));
    CHECK(it.state(start + 2s) == presence::draining);
    CHECK(it.on_announcement(announced(9, 3), start + 3s));
    CHECK(it.state(start + 3s) == presence::ready);
    CHECK_FALSE(it.is_departure_undecided());
}

// Where no former run can have sent the notice, it must take effect at once: flows at an upstream that has stopped get
// no answer until then.
TEST_CASE("a departure notice takes effect at once if there was no former run with the id")
{
    upstream_presence it{"desk", address, period};
    it.set_has_predecessor(false);
    CHECK(it.on_announcement(announced(5, 1, true), start));
    it.on_departure("a", start + 100ms);
    CHECK(it.state(start + 100ms) == presence::left);
    // The upstream's last announcements, which were held up.
    CHECK_FALSE(it.on_announcement(announced(5, 2, true), start + 1s));
    CHECK_FALSE(it.on_announcement(announced(5, 3), start + 3s));
    CHECK(it.state(start + 3s) == presence::left);
}

// A process that was paused has not read the announcements that arrived meanwhile. It must not take that for silence.
TEST_CASE("a pause of the agent does not decide a departure notice")
{
    upstream_presence it{"desk", address, period};
    CHECK(it.on_announcement(announced(5, 1, true), start));
    it.update(start);
    it.on_departure("a", start);
    it.update(start + 10s);
    CHECK(it.state(start + 10s) != presence::left);
    CHECK(it.on_announcement(announced(5, 12, true), start + 10100ms));
    it.update(start + 10100ms);
    CHECK(it.state(start + 10100ms) == presence::draining);
}

// A restarted agent may take the silence of a slow upstream for its end. The announcements that follow show otherwise.
TEST_CASE("an upstream that is taken to have left by its silence comes back with two announcements")
{
    upstream_presence it{"desk", address, period};
    CHECK(it.on_announcement(announced(5, 1), start));
    it.on_departure("a", start);
    for (auto at = start; at < start + 2s; at += tick)
        it.update(at);
    REQUIRE(it.state(start + 2s) == presence::left);
    CHECK_FALSE(it.on_announcement(announced(5, 2), start + 3s));
    CHECK_FALSE(it.on_announcement(announced(5, 3), start + 3s));
    CHECK(it.state(start + 3s) == presence::left);
    CHECK(it.on_announcement(announced(5, 4), start + 4s));
    CHECK(it.state(start + 4s) == presence::ready);
}

// A restarted agent may receive an announcement of a former run before one of the present run, and before the record.
TEST_CASE("a restarted agent does not take a former run for the recorded one")
{
    upstream_presence it{"desk", address, period};
    CHECK(it.on_announcement(announced(5, 70), start));
    it.on_record({9, false}, start + 100ms);
    CHECK(it.state(start + 100ms) == presence::recorded);
    CHECK(it.run_started_at_ms() == 9);
    CHECK_FALSE(it.on_announcement(announced(5, 71), start + 200ms));
    CHECK(it.on_announcement(announced(9, 4), start + 1s));
    CHECK(it.state(start + 1s) == presence::ready);
    CHECK_FALSE(it.on_announcement(announced(5, 72), start + 3s));
}

// A host that drains must get no new flows, also if one of its reports from before the drain reaches an agent that has
// restarted since. If it was recorded as draining only because it was silent, its next two announcements show that.
TEST_CASE("a late announcement from before a recorded drain does not end the drain")
{
    upstream_presence it{"desk", address, period};
    const bool came_before_record = GENERATE(false, true);
    if (came_before_record)
        CHECK(it.on_announcement(announced(9, 5), start - 100ms));
    it.on_record({9, true}, start);
    if (!came_before_record)
        CHECK_FALSE(it.on_announcement(announced(9, 5), start + 100ms));
    CHECK_FALSE(it.on_announcement(announced(9, 6), start + 100ms));
    CHECK(it.is_draining(start + 100ms));
    SECTION("the upstream goes on draining")
    {
        CHECK(it.on_announcement(announced(9, 8, true), start + 1s));
        CHECK(it.state(start + 1s) == presence::draining);
        CHECK_FALSE(it.on_announcement(announced(9, 7), start + 2s));
    }
    SECTION("the upstream announces that it is ready")
    {
        CHECK(it.on_announcement(announced(9, 8), start + 1s));
        CHECK(it.state(start + 1s) == presence::ready);
    }
    SECTION("the upstream restarts")
    {
        CHECK(it.on_announcement(announced(12, 1), start + 1s));
        CHECK(it.state(start + 1s) == presence::ready);
    }
}
