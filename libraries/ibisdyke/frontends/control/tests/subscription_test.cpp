#include "control_fixture.h"

#include "ibisdyke/dissemination/wire/codec.h"
#include "ibisdyke/frontends/discovery/state_subscriber.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace ibisdyke;
using namespace ibisdyke::frontends;
using namespace std::chrono_literals;

namespace {

/// The dissemination part of a balancer: subscribes to the state and serves it to other subscribers.
class relay {
public:
    relay(subscriber_settings settings, observability::counter_registry& counters, QObject* parent)
        : server_(transport::http2_server::create(core::endpoint::create("127.0.0.1:0"), {}, router_, nullptr, parent))
    {
        settings.relay = server_->address();
        subscriber_ = std::make_unique<state_subscriber>(settings, counters, nullptr, nullptr);
        subscriptions_ = std::make_unique<subscription_server>(
            router_, counters_, [this] { return subscriber_->age(); }, dissemination::default_max_subscribers, nullptr);
        subscriber_->on_state([this](const auto& it) { subscriptions_->publish(it); });
        subscriber_->on_keep_alive([this] { subscriptions_->send_keep_alives(); });
    }

    core::endpoint address() const { return server_->address(); }

    transport::rpc_router router_;
    transport::http2_server* server_;
    observability::counter_registry counters_;
    std::unique_ptr<state_subscriber> subscriber_;
    std::unique_ptr<subscription_server> subscriptions_;
};

class subscription_fixture : public control_fixture {
public:
    subscriber_settings settings(const std::vector<core::endpoint>& controls)
    {
        subscriber_settings it;
        it.name = "agent-0";
        it.controls = controls;
        return it;
    }

    state_subscriber& subscribe(const subscriber_settings& it)
    {
        subscribers_.push_back(std::make_unique<state_subscriber>(it, counters_, nullptr, nullptr));
        auto& added = *subscribers_.back();
        added.on_state([this, &added, last = core::version{}](const auto& state) mutable {
            version_decreased_ = version_decreased_ || state->applied <= last;
            last = state->applied;
            CHECK(added.state() == state);
        });
        added.start();
        return added;
    }

    bool all_at(const core::version& it) const
    {
        return std::all_of(subscribers_.begin(), subscribers_.end(),
            [&](const auto& subscriber) { return subscriber->state() && subscriber->state()->applied == it; });
    }

    bool all_from(const core::endpoint& it) const
    {
        return std::all_of(subscribers_.begin(), subscribers_.end(),
            [&](const auto& subscriber) { return subscriber->source() == it; });
    }

    void commit_profile(std::uint64_t revision)
    {
        log_.commit([&](auto& state) {
            auto& profile = state.configuration.profiles["standard"];
            profile.name = "standard";
            profile.revision = revision;
        });
    }

    bool version_decreased_ = false;
    std::vector<std::unique_ptr<state_subscriber>> subscribers_;
};

/// Subscribes with a given version and stores the received messages.
class raw_subscriber {
public:
    raw_subscriber(const core::endpoint& peer, const core::version& applied)
        : client_(peer, 0, {}, nullptr, nullptr)
    {
        const dissemination::subscribe_request request{applied, "raw", std::nullopt, {}};
        subscription_ = transport::rpc_subscription::create(
            client_, "/dissemination/subscribe", dissemination::wire::encode(request),
            [this](const auto& bytes) { messages_.push_back(dissemination::wire::decode_subscription_message(bytes)); },
            [this] { closed_ = true; });
    }

    ~raw_subscriber() { subscription_->cancel(); }
    raw_subscriber(const raw_subscriber&) = delete;
    raw_subscriber& operator=(const raw_subscriber&) = delete;
    raw_subscriber(raw_subscriber&&) = delete;
    raw_subscriber& operator=(raw_subscriber&&) = delete;

    std::vector<dissemination::subscription_message> messages_;
    bool closed_ = false;

private:
    transport::http2_client client_;
    std::shared_ptr<transport::rpc_subscription> subscription_;
};

} // namespace

TEST_CASE_METHOD(subscription_fixture, "a subscriber gets a snapshot and then each change")
{
    auto& control = add_control();
    auto& subscriber = subscribe(settings(addresses()));
    REQUIRE(wait_for([&] { return all_at({1, 100}); }));
    commit_profile(2);
    commit_profile(3);
    REQUIRE(wait_for([&] { return all_at({1, 102}); }));
    CHECK(*subscriber.state() == log_.state);
    CHECK(control.count("subscriptions_served_snapshot") == 1);
    CHECK(counters_.find("deltas_received").value() == 2);
    CHECK(subscriber.age().value_or(1h) < 1s);
}

// A subscriber that reconnects after a short absence must not get a whole snapshot.
TEST_CASE_METHOD(subscription_fixture, "a subscriber that returns after 300 changes gets one delta")
{
    auto& control = add_control();
    for (std::uint64_t i = 1; i <= 300; ++i)
        commit_profile(i);
    raw_subscriber returned(control.address(), {1, 100});
    REQUIRE(wait_for([&] { return returned.messages_.size() >= 2; }));
    const auto* const change = std::get_if<dissemination::delta>(&returned.messages_.front());
    REQUIRE(change != nullptr);
    CHECK(change->to == core::version{1, 400});
    CHECK(change->profiles.size() == 1);
    CHECK(std::holds_alternative<dissemination::keep_alive>(returned.messages_[1]));
}

// After a large change, all subscribers of a fleet may come back at once with the same version. The control process
// must not merge and encode the same delta for each of them.
TEST_CASE_METHOD(subscription_fixture, "subscribers that return with the same version get a delta that is encoded once")
{
    auto& control = add_control();
    for (std::uint64_t i = 1; i <= 300; ++i)
        commit_profile(i);
    std::vector<std::unique_ptr<raw_subscriber>> returned;
    returned.reserve(10);
    for (int i = 0; i < 10; ++i)
        returned.push_back(std::make_unique<raw_subscriber>(control.address(), core::version{1, 100}));
    for (const auto& it : returned) {
        REQUIRE(wait_for([&] { return it->messages_.size() >= 2; }));
        CHECK(it->messages_.front() == returned.front()->messages_.front());
    }
    CHECK(control.count("subscriptions_served_delta") == 10);
    CHECK(control.count("subscription_deltas_encoded") == 1);
    commit_profile(301);
    raw_subscriber later(control.address(), {1, 100});
    REQUIRE(wait_for([&] { return later.messages_.size() >= 2; }));
    CHECK(std::get<dissemination::delta>(later.messages_.front()).to == core::version{1, 401});
}

// A subscriber must catch up even if the deltas that it needs were dropped.
TEST_CASE_METHOD(subscription_fixture, "a subscriber that returns after 10,000 changes gets a snapshot")
{
    auto& control = add_control();
    for (std::uint64_t i = 1; i <= 10'000; ++i)
        commit_profile(i);
    raw_subscriber returned(control.address(), {1, 100});
    REQUIRE(wait_for([&] { return returned.messages_.size() >= 2; }));
    const auto* const snapshot = std::get_if<dissemination::system_state_snapshot>(&returned.messages_.front());
    REQUIRE(snapshot != nullptr);
    CHECK((*snapshot)->applied == core::version{1, 10'100});
}

// A delta must not be applied after an earlier one was lost, and the state must not go back to an older version.
TEST_CASE_METHOD(subscription_fixture, "a subscriber subscribes again after a gap between deltas")
{
    int subscriptions = 0;
    transport::rpc_router router;
    auto* const server =
        transport::http2_server::create(core::endpoint::create("127.0.0.1:0"), {}, router, nullptr, &application_);
    const auto send = [](auto& publisher, const dissemination::subscription_message& it) {
        publisher.publish(dissemination::wire::encode(it));
    };
    const auto state_at = [&](std::uint64_t index) {
        auto it = std::make_shared<dissemination::system_state>(log_.state);
        it->applied.index = index;
        return it;
    };
    std::vector<core::version> requested;
    router.add_subscription("/dissemination/subscribe", [&](const auto& body, const auto& publisher) {
        requested.push_back(dissemination::wire::decode_subscribe_request(body).applied);
        if (++subscriptions == 1) {
            send(*publisher, dissemination::subscription_message(dissemination::system_state_snapshot(state_at(10))));
            // An old delta, an old snapshot, and a delta that begins two versions later.
            send(*publisher, dissemination::difference(*state_at(8), *state_at(9)));
            send(*publisher, dissemination::subscription_message(dissemination::system_state_snapshot(state_at(5))));
            send(*publisher, dissemination::difference(*state_at(12), *state_at(13)));
            return;
        }
        send(*publisher, dissemination::difference(*state_at(10), *state_at(13)));
    });
    auto& subscriber = subscribe(settings({server->address()}));
    REQUIRE(wait_for([&] { return all_at({1, 13}); }));
    CHECK(requested == std::vector<core::version>{{}, {1, 10}});
    CHECK_FALSE(version_decreased_);
    CHECK(counters_.find("delta_gaps").value() == 1);
    CHECK(counters_.find("feed_messages_old").value() == 2);
    CHECK(subscriber.source() == server->address());
}

// Subscribers that kept using a paused control process would miss that a failure domain is taken out of service.
TEST_CASE_METHOD(subscription_fixture, "subscribers of a paused control process change their source within 2 s")
{
    add_control();
    auto& paused = add_control();
    for (int i = 0; i < 8; ++i)
        subscribe(settings(addresses()));
    REQUIRE(wait_for([&] { return all_at({1, 100}); }));
    paused.pause();
    commit_profile(2);
    CHECK(wait_for([&] { return all_at({1, 101}); }, 2000));
    CHECK(all_from(controls_.front()->address()));
}

// Subscribers must not stay with a stale state from the minority side of a partition, nor return to it later.
TEST_CASE_METHOD(
    subscription_fixture, "subscribers leave a control process without leader contact and do not return to it")
{
    add_control();
    auto& stale = add_control();
    for (int i = 0; i < 8; ++i)
        subscribe(settings(addresses()));
    REQUIRE(wait_for([&] { return all_at({1, 100}); }));
    stale.partition();
    commit_profile(2);
    REQUIRE(wait_for([&] { return all_at({1, 101}); }, 1500));
    CHECK(all_from(controls_.front()->address()));

    // New subscribers that try the stale process first change to the other one.
    for (int i = 0; i < 8; ++i)
        subscribe(settings(addresses()));
    REQUIRE(wait_for([&] { return all_at({1, 101}); }));
    run_for(1500);
    CHECK(all_from(controls_.front()->address()));
    CHECK_FALSE(version_decreased_);
}

// A process must not drop packets while it waits for a subscription that lags behind.
TEST_CASE_METHOD(subscription_fixture, "a subscriber changes its source after it has seen a newer version elsewhere")
{
    add_control();
    auto& lagging = add_control();
    for (int i = 0; i < 8; ++i)
        subscribe(settings(addresses()));
    REQUIRE(wait_for([&] { return all_at({1, 100}); }));
    run_for(1100);
    // The process still has leader contact, but applies no changes.
    lagging.group.is_partitioned_ = true;
    commit_profile(2);
    for (const auto& it : subscribers_)
        it->refresh({1, 101});
    CHECK(wait_for([&] { return all_at({1, 101}); }, 500));
}

// A packet that arrives before the delta with its version must not make the subscriber change its source.
TEST_CASE_METHOD(subscription_fixture, "a subscriber keeps its source when the feed delivers the newer version at once")
{
    add_control();
    add_control();
    auto& subscriber = subscribe(settings(addresses()));
    REQUIRE(wait_for([&] { return all_at({1, 100}); }));
    run_for(1100);
    const auto before = subscriber.source();
    subscriber.refresh({1, 101});
    commit_profile(2);
    REQUIRE(wait_for([&] { return all_at({1, 101}); }));
    run_for(300);
    CHECK(subscriber.source() == before);
    CHECK(counters_.find("subscriptions_opened").value() == 1);
}

// A new balancer must get a state even while all control processes are down.
TEST_CASE_METHOD(subscription_fixture, "a new subscriber gets the state from a peer when no control process is left")
{
    auto& control = add_control();
    const auto controls = addresses();
    auto peer_settings = settings(controls);
    relay peer(peer_settings, counters_, &application_);
    peer.subscriber_->start();
    REQUIRE(wait_for([&] { return peer.subscriber_->state() != nullptr; }));
    control.kill();
    auto new_settings = settings(controls);
    new_settings.peers = {peer.address()};
    auto& new_subscriber = subscribe(new_settings);
    REQUIRE(wait_for([&] { return new_subscriber.state() != nullptr; }, 3000));
    CHECK(*new_subscriber.state() == log_.state);
}

// Agents must still get changes when they lose the control processes. They know the relays only from the state.
TEST_CASE_METHOD(
    subscription_fixture, "a subscriber without a usable control process gets changes from a relay in the state")
{
    add_control();
    auto& own = add_control();
    relay listed(settings({controls_.front()->address()}), counters_, &application_);
    listed.subscriber_->start();
    log_.commit([&](auto& state) { state.membership.relays.emplace("balancer-0", listed.address()); });
    auto& subscriber = subscribe(settings({own.address()}));
    REQUIRE(wait_for([&] { return all_at({1, 101}); }));
    own.partition();
    commit_profile(2);
    REQUIRE(wait_for([&] { return all_at({1, 102}); }, 4000));
    CHECK(subscriber.source() == listed.address());
    run_for(2500);
    CHECK(subscriber.source() == listed.address());
}

// Two relays that subscribe to each other must not report a current state while neither has leader contact.
TEST_CASE_METHOD(subscription_fixture, "the state of relays that only subscribe to each other becomes stale")
{
    auto& control = add_control();
    relay first(settings(addresses()), counters_, &application_);
    auto second_settings = settings({});
    second_settings.peers = {first.address()};
    relay second(second_settings, counters_, &application_);
    log_.commit([&](auto& state) { state.membership.relays.emplace("second", second.address()); });
    first.subscriber_->start();
    second.subscriber_->start();
    REQUIRE(wait_for([&] { return second.subscriber_->age().has_value(); }));
    CHECK(second.subscriber_->age().value_or(1h) < 2s);
    control.kill();
    REQUIRE(wait_for([&] { return first.subscriber_->source() == second.address(); }));
    run_for(2500);
    CHECK(first.subscriber_->age().value_or(0ms) > 2s);
    CHECK(second.subscriber_->age().value_or(0ms) > 2s);
    CHECK(second.subscriber_->state()->applied == core::version{1, 101});
}

TEST_CASE_METHOD(subscription_fixture, "subscribers beyond the limit are redirected to a relay")
{
    auto& control = add_control();
    relay first(settings(addresses()), counters_, &application_);
    first.subscriber_->start();
    REQUIRE(wait_for([&] { return first.subscriber_->state() != nullptr; }));
    for (int i = 0; i < 16; ++i)
        subscribe(settings(addresses()));
    REQUIRE(wait_for([&] { return all_at({1, 100}); }));
    CHECK(control.subscriptions->subscriber_count() == 12);
    CHECK(first.subscriptions_->subscriber_count() == 5);
    commit_profile(2);
    CHECK(wait_for([&] { return all_at({1, 101}); }));
}

// A relay must be served even if agents have already reached the limit of subscribers.
TEST_CASE_METHOD(subscription_fixture, "a relay replaces an agent, which is redirected to the relay")
{
    auto& control = add_control();
    for (int i = 0; i < 12; ++i)
        subscribe(settings(addresses()));
    REQUIRE(wait_for([&] { return all_at({1, 100}); }));
    relay late(settings(addresses()), counters_, &application_);
    late.subscriber_->start();
    REQUIRE(wait_for([&] { return late.subscriptions_->subscriber_count() == 1; }));
    CHECK(late.subscriber_->source() == control.address());
    commit_profile(2);
    CHECK(wait_for([&] { return all_at({1, 101}); }));
}

// Subscribers must not be redirected to a dead relay until its lease ends.
TEST_CASE_METHOD(subscription_fixture, "a subscriber redirected to a dead relay is served by the control process")
{
    auto& control = add_control();
    std::vector<std::unique_ptr<raw_subscriber>> subscribers;
    transport::http2_client client(control.address(), 0, {}, nullptr, nullptr);
    dissemination::subscribe_request request{{}, "dead relay", core::endpoint::create("127.0.0.1:1"), {}};
    const auto dead_relay = transport::rpc_subscription::create(
        client, "/dissemination/subscribe", dissemination::wire::encode(request), [](const auto&) {}, [] {});
    subscribers.reserve(11);
    for (int i = 0; i < 11; ++i)
        subscribers.push_back(std::make_unique<raw_subscriber>(control.address(), core::version{}));
    REQUIRE(wait_for([&] { return control.subscriptions->subscriber_count() == 12; }));
    subscribe(settings(addresses()));
    REQUIRE(wait_for([&] { return all_at({1, 100}); }, 2000));
    CHECK(control.count("subscribers_redirected") == 1);
    CHECK(control.subscriptions->subscriber_count() == 13);
    dead_relay->cancel();
}

TEST_CASE_METHOD(subscription_fixture, "a malformed request ends the subscription")
{
    auto& control = add_control();
    transport::http2_client client(control.address(), 0, {}, nullptr, nullptr);
    bool closed = false;
    const auto subscription = transport::rpc_subscription::create(
        client, "/dissemination/subscribe", "\xff\xff", [](const auto&) {}, [&] { closed = true; });
    CHECK(wait_for([&] { return closed; }));
    CHECK(control.count("subscribe_requests_malformed") == 1);
}
