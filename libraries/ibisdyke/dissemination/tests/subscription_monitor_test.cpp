#include "ibisdyke/dissemination/subscription_monitor.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace ibisdyke::dissemination;
using namespace std::chrono_literals;

namespace {

constexpr core::version applied{1, 10};

class feed_fixture {
public:
    void keep_alive(core::milliseconds age, const core::version& latest = applied)
    {
        monitor_.on_keep_alive({latest, age}, now_);
    }

    subscription_state state() const { return monitor_.state(applied, now_); }

    core::time_point now_{100s};
    subscription_monitor monitor_{{}, now_};
};

} // namespace

TEST_CASE_METHOD(feed_fixture, "a feed that sends nothing at all is silent after 1 s")
{
    now_ += 900ms;
    CHECK(state() == subscription_state::opening);
    now_ += 100ms;
    CHECK(state() == subscription_state::silent);
}

// Guards against processes without a state that stay with a control process that has lost its folder, while the others
// have the state.
TEST_CASE_METHOD(feed_fixture, "a subscriber without a state leaves a source without one")
{
    subscription_limits limits;
    limits.first_message = 60ms;
    subscription_monitor monitor(limits, now_);
    monitor.on_keep_alive({{}, 1h}, now_);
    now_ += 50ms;
    CHECK(monitor.state({}, now_) != subscription_state::empty);
    now_ += 10ms;
    CHECK(monitor.state({}, now_) == subscription_state::empty);
    CHECK(monitor.state(applied, now_) != subscription_state::empty);
    monitor.on_version(applied, now_);
    CHECK(monitor.state({}, now_) != subscription_state::empty);
}

// Guards against a subscriber that stays with a paused control process for longer than 2 s.
TEST_CASE_METHOD(feed_fixture, "a feed that stops is silent within 2 s")
{
    keep_alive(0ms);
    now_ += 1700ms;
    CHECK(state() == subscription_state::current);
    now_ += 200ms;
    CHECK(state() == subscription_state::silent);
}

// Guards against a control process on the far side of a partition that goes on sending keep-alives.
TEST_CASE_METHOD(feed_fixture, "a feed whose source has lost the leader is cut off at once")
{
    keep_alive(0ms);
    now_ += 500ms;
    keep_alive(1h);
    CHECK(state() == subscription_state::cut_off);
    keep_alive(0ms);
    CHECK(state() == subscription_state::current);
}

// Guards against relays that feed each other and call that current.
TEST_CASE_METHOD(feed_fixture, "the age of a feed grows along its relays")
{
    keep_alive(900ms);
    CHECK(state() == subscription_state::current);
    CHECK(monitor_.age(now_) == 900ms);
    now_ += 900ms;
    keep_alive(1800ms);
    CHECK(monitor_.age(now_) == 1800ms);
    now_ += 300ms;
    CHECK(state() == subscription_state::cut_off);
}

// Guards against a change of feed with each change of state, since packets often arrive before the delta.
TEST_CASE_METHOD(feed_fixture, "a feed gets 100 ms to deliver a version seen elsewhere")
{
    keep_alive(0ms);
    monitor_.on_hint({1, 11}, now_);
    now_ += 90ms;
    CHECK(state() == subscription_state::current);
    CHECK(monitor_.state({1, 11}, now_) == subscription_state::current);
    now_ += 10ms;
    CHECK(state() == subscription_state::behind);
    CHECK(monitor_.state({1, 11}, now_) == subscription_state::current);
}

// Guards against hints repeated with each packet that put off the judgement for ever.
TEST_CASE_METHOD(feed_fixture, "repeated hints do not extend the time to deliver")
{
    keep_alive(0ms);
    for (int i = 0; i < 10; ++i) {
        monitor_.on_hint({1, 11}, now_);
        now_ += 10ms;
    }
    CHECK(state() == subscription_state::behind);
}

// Guards against a subscriber that waits at a source that has less than itself.
TEST_CASE_METHOD(feed_fixture, "a source that offers an older version gets 1 s to catch up")
{
    keep_alive(0ms, {1, 8});
    now_ += 900ms;
    CHECK(state() == subscription_state::current);
    now_ += 100ms;
    CHECK(state() == subscription_state::behind);
    monitor_.on_version({1, 10}, now_);
    CHECK(state() == subscription_state::current);
}
