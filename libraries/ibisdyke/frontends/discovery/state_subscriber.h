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

/// What a state_subscriber needs to know.
struct subscriber_settings {
    /// Name of the process, for operators.
    std::string name;
    /// Peer endpoints of the control processes.
    std::vector<core::endpoint> controls;
    /// Peer endpoints of balancers to ask when no control process answers, besides the relays that the state lists. May
    /// be empty.
    std::vector<core::endpoint> peers;
    /// Where this process serves subscriptions itself, when it does.
    std::optional<core::endpoint> relay;
    /// The local address to connect from, 0 for any.
    std::uint32_t source_address = 0;
    dissemination::subscription_limits limits;
};

/// Keeps the system state of an agent or balancer up to date. Subscribes to a control process, or to a relay when
/// redirected, or to a peer when no control process answers, and moves on when the feed is silent, cut off from the
/// leader or behind. Never goes back to an older version. Lives on the control thread.
///
/// A balancer, which serves the state to others as well:
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

    /// Sets what runs with each new state, on the control thread.
    void on_state(state_callback callback) { state_callback_ = std::move(callback); }

    /// Sets what runs with each keep-alive by which a control process vouches anew for the state.
    void on_keep_alive(std::function<void()> callback) { keep_alive_callback_ = std::move(callback); }

    /// Replaces the control processes. The feed in use goes on.
    void set_controls(std::vector<core::endpoint> controls) { sources_.set_controls(std::move(controls)); }

    void start();

    /// Tells that another process has this version, as seen in a packet or an answer. When the feed does not deliver it
    /// within 100 ms, another source is asked. Cheap when the version is not newer.
    void refresh(const core::version& seen);

    /// The latest state; null before the first one arrived.
    const dissemination::system_state_snapshot& state() const { return state_; }

    /// How long ago a control process in touch with a leader vouched for the state; nothing when none ever did.
    std::optional<core::milliseconds> age() const;

    /// The source in use.
    std::optional<core::endpoint> source() const;

    std::string name() const override { return "subscription"; }
    QJsonObject report() const override;

private:
    struct feed;

    core::version applied() const { return state_ ? state_->applied : core::version{}; }
    void open_next();
    void open(const core::endpoint& source);
    void close_feed();
    void schedule_move();
    void note_failure();
    void on_message(const std::string& bytes);
    void on_content(const dissemination::system_state_snapshot& it);
    void on_content(const dissemination::delta& it);
    void on_content(const dissemination::keep_alive& it);
    void on_content(const dissemination::redirect& it);
    void take(const dissemination::system_state_snapshot& next);
    void check();

    subscriber_settings settings_;
    observability::counter_sink& counters_;
    transport::traffic_meter* meter_;
    state_callback state_callback_;
    std::function<void()> keep_alive_callback_;
    dissemination::system_state_snapshot state_;
    dissemination::source_selector sources_;
    std::shared_ptr<feed> feed_;
    /// When control last vouched for the state, on this feed or an earlier one.
    std::optional<core::time_point> leader_contact_;
    core::time_point opened_;
    /// Feeds given up since the last one that was current.
    std::size_t failures_ = 0;
    bool move_scheduled_ = false;
    QTimer timer_;
};

/// Adds gauges of the version and age of the subscriber's state. The subscriber must outlive the last use of
/// `counters`.
void add_state_gauges(observability::counter_registry& counters, const state_subscriber& subscriber);

} // namespace ibisdyke::frontends
