#include "ibisdyke/dissemination/subscription_monitor.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace ibisdyke::dissemination;
using namespace std::chrono_literals;

namespace {

constexpr core::version applied{1, 10};

class subscription_fixture {
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

TEST_CASE_METHOD(subscription_fixture, "a subscription without a first message is silent after 1 s")
{
    now_ += 900ms;
    CHECK(state() == subscription_state::opening);
    now_ += 100ms;
    CHECK(state() == subscription_state::silent);
}

// A subscriber must not stay with a control process that has lost its data folder, because it would never get the state
// that the other control processes have.
TEST_CASE_METHOD(subscription_fixture, "a subscription is empty if neither subscriber nor source has a state")
{
    subscription_limits limits;
    limits.max_first_message = 60ms;
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

// A subscriber must leave a paused control process within 2 s.
TEST_CASE_METHOD(subscription_fixture, "a subscription whose messages stop is silent within 2 s")
{
    keep_alive(0ms);
    now_ += 1700ms;
    CHECK(state() == subscription_state::current);
    now_ += 200ms;
    CHECK(state() == subscription_state::silent);
}

// A subscriber must leave a control process that is partitioned from the leader, although it still sends keep-alives.
TEST_CASE_METHOD(subscription_fixture, "a subscription whose source has lost the leader is cut off at once")
{
    keep_alive(0ms);
    now_ += 500ms;
    keep_alive(1h);
    CHECK(state() == subscription_state::cut_off);
    keep_alive(0ms);
    CHECK(state() == subscription_state::current);
}

// Relays that subscribe to each other must not count as current without a control process.
TEST_CASE_METHOD(subscription_fixture, "the age of a subscription grows along its relays")
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

// Packets often carry a new version before the delta arrives. This alone must not make the subscriber change its
// source.
TEST_CASE_METHOD(subscription_fixture, "a source has 100 ms to deliver a version seen elsewhere")
{
    keep_alive(0ms);
    monitor_.on_version_seen({1, 11}, now_);
    now_ += 90ms;
    CHECK(state() == subscription_state::current);
    CHECK(monitor_.state({1, 11}, now_) == subscription_state::current);
    now_ += 10ms;
    CHECK(state() == subscription_state::behind);
    CHECK(monitor_.state({1, 11}, now_) == subscription_state::current);
}

// If each packet with the new version restarted the time, a source would never count as behind.
TEST_CASE_METHOD(subscription_fixture, "seeing a version again does not extend the time to deliver it")
{
    keep_alive(0ms);
    for (int i = 0; i < 10; ++i) {
        monitor_.on_version_seen({1, 11}, now_);
        now_ += 10ms;
    }
    CHECK(state() == subscription_state::behind);
}

// A subscriber without a state tries sources quickly, because some of them may not run yet. One with a state must leave
// a busy control process time to answer: many subscribers that give up after 60 ms keep it busy for seconds.
TEST_CASE("the wait for a first message grows with the failures and is longer with a state")
{
    const subscription_limits limits;
    CHECK(first_message_limit(limits, 0, false) == 60ms);
    CHECK(first_message_limit(limits, 5, false) == 60ms);
    CHECK(first_message_limit(limits, 6, false) == 120ms);
    CHECK(first_message_limit(limits, 1000, false) == limits.max_first_message);
    CHECK(first_message_limit(limits, 0, true) == 500ms);
    CHECK(first_message_limit(limits, 6, true) == limits.max_first_message);
}

// A control process that is busy with the subscribers of a whole fleet accepts connections long before it answers. When
// they gave up after 60 ms, the first of 190 processes got its state 0.8 s after the control processes had started.
TEST_CASE("a source that has accepted the connection has more time for its first message")
{
    const core::time_point start{100s};
    subscription_monitor monitor(limits_after_failures({}, 0, false), start);
    CHECK(monitor.state({}, start + 59ms) == subscription_state::opening);
    CHECK(monitor.state({}, start + 60ms) == subscription_state::silent);
    monitor.on_connected();
    CHECK(monitor.state({}, start + 499ms) == subscription_state::opening);
    CHECK(monitor.state({}, start + 500ms) == subscription_state::silent);
    subscription_monitor later(limits_after_failures({}, 6, false), start);
    later.on_connected();
    CHECK(later.state({}, start + 999ms) == subscription_state::opening);
    CHECK(later.state({}, start + 1000ms) == subscription_state::silent);
}

// With 100 ms in a fleet of 190 subscribers, all of them left their sources at once after a change of 1,640 routes, and
// the control processes could serve none of them for 9 s. A small group must still notice a paused source quickly.
TEST_CASE("the time to deliver a version grows with the number of subscribers")
{
    const subscription_limits limits;
    CHECK(delivery_limit(limits, 0) == 100ms);
    CHECK(delivery_limit(limits, 20) <= 150ms);
    CHECK(delivery_limit(limits, 190) >= 400ms);
    CHECK(delivery_limit(limits, 100'000) == limits.max_delivery_timeout);
}

// A subscriber must not stay with a source whose version remains older than its own.
TEST_CASE_METHOD(subscription_fixture, "a source with an older version has 1 s to catch up")
{
    keep_alive(0ms, {1, 8});
    now_ += 900ms;
    CHECK(state() == subscription_state::current);
    now_ += 100ms;
    CHECK(state() == subscription_state::behind);
    monitor_.on_version({1, 10}, now_);
    CHECK(state() == subscription_state::current);
}
