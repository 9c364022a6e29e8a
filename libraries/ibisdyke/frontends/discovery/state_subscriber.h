#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/dissemination/messages.h"
#include "ibisdyke/dissemination/source_selector.h"
#include "ibisdyke/dissemination/subscription_monitor.h"
#include "ibisdyke/dissemination/system_state.h"
#include "ibisdyke/observability/counter_registry.h"
#include "ibisdyke/observability/state_reporter.h"
#include "ibisdyke/transport/http2_client.h"
#include "ibisdyke/transport/rpc_client.h"
#include "ibisdyke/transport/traffic_meter.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ibisdyke::frontends {

/// Settings of a state_subscriber.
struct subscriber_settings {
    /// Process name that operators see.
    std::string name;
    /// Peer endpoints of the control processes.
    std::vector<core::endpoint> controls;
    /// Peer endpoints of balancers that serve as sources when no control process answers, in addition to the relays in
    /// the system state. May be empty.
    std::vector<core::endpoint> peers;
    /// The endpoint at which this process itself serves subscriptions, if it is a relay.
    std::optional<core::endpoint> relay;
    /// The local address to connect from, 0 for any.
    std::uint32_t source_address = 0;
    dissemination::subscription_limits limits;
};

/// Keeps the system state of an agent or balancer up to date. Subscribes to a control process, to a relay after a
/// redirect, or to a peer when no control process answers. Switches to another source when the current one is silent,
/// cut off from the leader or behind. Never applies an older version than the current one. Lives on the control thread.
///
/// Example for a balancer, which also serves the state to other processes:
///
///     state_subscriber subscriber(settings, counters, &meter, &application);
///     subscription_server server(router, counters, [&] { return subscriber.age(); },
///         dissemination::default_max_subscribers, &application);
///     subscriber.on_state([&](const auto& state) { server.publish(state); publish_table(state); });
///     subscriber.on_keep_alive([&] { server.send_keep_alives(); });
///     subscriber.start();
class state_subscriber : public QObject, public observability::state_reporter {
public:
    using state_callback = std::function<void(const dissemination::system_state_snapshot&)>;

    /// `counters` and `meter` (which may be null) must outlive the subscriber.
    state_subscriber(subscriber_settings settings, observability::counter_sink& counters,
        transport::traffic_meter* meter, QObject* parent);

    ~state_subscriber() override;
    state_subscriber(const state_subscriber&) = delete;
    state_subscriber& operator=(const state_subscriber&) = delete;
    state_subscriber(state_subscriber&&) = delete;
    state_subscriber& operator=(state_subscriber&&) = delete;

    /// Sets the callback for each new state. It runs on the control thread.
    void on_state(state_callback callback) { state_callback_ = std::move(callback); }

    /// Sets the callback for each keep-alive that reports a more recent leader contact. It runs on the control thread.
    void on_keep_alive(std::function<void()> callback) { keep_alive_callback_ = std::move(callback); }

    /// Replaces the control processes. The current subscription stays open.
    void set_controls(std::vector<core::endpoint> controls) { sources_.set_controls(std::move(controls)); }

    /// Opens the first subscription.
    void start();

    /// Reports that another process has the version `seen`, taken from a packet or an answer. The subscriber switches
    /// to another source if the current one does not deliver this version within 100 ms. Cheap if the version is not
    /// newer.
    void refresh(const core::version& seen);

    /// Returns the latest state, or null before the first state has arrived.
    const dissemination::system_state_snapshot& state() const { return state_; }

    /// Returns how long ago a control process in contact with the leader last confirmed the state by a keep-alive;
    /// nothing when none has confirmed it yet.
    std::optional<core::milliseconds> age() const;

    /// Returns the source in use, if any.
    std::optional<core::endpoint> source() const;

    std::string name() const override { return "subscription"; }
    QJsonObject report() const override;

private:
    struct subscription;

    core::version applied_version() const { return state_ ? state_->applied : core::version{}; }
    void subscribe_to_next_source();
    void subscribe(const core::endpoint& source);
    core::milliseconds random_delivery_limit() const;
    void close_subscription();
    void schedule_resubscribe();
    void record_failure();
    void on_message(const std::string& bytes);
    void handle_message(const dissemination::system_state_snapshot& it);
    void handle_message(const dissemination::delta& it);
    void handle_message(const dissemination::keep_alive& it);
    void handle_message(const dissemination::redirect& it);
    void apply_state(const dissemination::system_state_snapshot& next);
    void check_subscription();

    subscriber_settings settings_;
    observability::counter_sink& counters_;
    transport::traffic_meter* meter_;
    state_callback state_callback_;
    std::function<void()> keep_alive_callback_;
    dissemination::system_state_snapshot state_;
    dissemination::source_selector sources_;
    std::shared_ptr<subscription> subscription_;
    /// When a control process in contact with the leader last confirmed the state, on this or an earlier subscription.
    std::optional<core::time_point> leader_contact_;
    core::time_point subscribed_at_;
    /// Number of subscriptions abandoned since the last current one.
    std::size_t consecutive_failures_ = 0;
    bool resubscribe_scheduled_ = false;
    QTimer timer_;
};

/// Adds gauges for the version and the age of the subscriber's state. `subscriber` must outlive the last use of
/// `counters`.
void add_state_gauges(observability::counter_registry& counters, const state_subscriber& subscriber);

} // namespace ibisdyke::frontends
