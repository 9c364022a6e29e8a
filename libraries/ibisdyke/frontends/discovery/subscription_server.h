#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/dissemination/delta_history.h"
#include "ibisdyke/dissemination/messages.h"
#include "ibisdyke/dissemination/relay_assignment.h"
#include "ibisdyke/dissemination/system_state.h"
#include "ibisdyke/dissemination/wire/codec.h"
#include "ibisdyke/observability/counter_sink.h"
#include "ibisdyke/observability/state_reporter.h"
#include "ibisdyke/transport/rpc_router.h"

#include <QObject>
#include <QTimer>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace ibisdyke::frontends {

/// Serves the system state to subscribers, at control processes and balancers. Lives on the control thread.
///
/// Example for a control process. It creates the server before it replays the log, so that the history of deltas covers
/// the log:
///
///     subscription_server server(router, counters, [&]() -> std::optional<core::milliseconds> {
///         if (group.is_leader() || group.leader())
///             return core::milliseconds{0};
///         return std::nullopt;
///     }, dissemination::default_max_subscribers, &application);
///     server.publish(group.state());
///     group.on_state_change([&](const auto& state) { server.publish(state); });
///
/// See state_subscriber for an example for a balancer.
class subscription_server : public QObject, public observability::state_reporter {
public:
    /// Returns how long ago a control process in contact with the leader last confirmed the state of this process;
    /// nothing when that is not known.
    using leader_contact_age_callback = std::function<std::optional<core::milliseconds>()>;

    /// Registers the subscription method with `router`. The references must outlive the server, and the server must
    /// outlive the last request that `router` handles.
    subscription_server(transport::rpc_router& router, observability::counter_sink& counters,
        leader_contact_age_callback leader_contact_age, std::size_t max_subscribers, QObject* parent);

    /// Sends the changes since the previous state to all subscribers. An older state is ignored.
    void publish(const dissemination::system_state_snapshot& state);

    /// Sends a keep-alive to all subscribers immediately. A relay calls this when it receives a keep-alive, so that the
    /// age of the state does not add up along the tree of relays.
    void send_keep_alives();

    std::size_t subscriber_count() const { return subscribers_.size(); }

    std::string name() const override { return "subscriptions"; }
    QJsonObject report() const override;

private:
    struct subscription {
        dissemination::subscriber info;
        std::string name;
        dissemination::wire::delta_compression compression = dissemination::wire::delta_compression::none;
        std::shared_ptr<transport::rpc_publisher> publisher;
    };

    void on_subscribe(const std::string& body, const std::shared_ptr<transport::rpc_publisher>& publisher);
    void handle_request(
        const dissemination::subscribe_request& request, const std::shared_ptr<transport::rpc_publisher>& publisher);
    void send_initial_state(const dissemination::subscribe_request& request, transport::rpc_publisher& publisher);
    const std::string* find_encoded_delta(
        const core::version& from, dissemination::wire::delta_compression compression);
    void redirect(transport::rpc_publisher& publisher, const core::endpoint& target);
    void send(transport::rpc_publisher& publisher, const std::string& message);
    void broadcast(const dissemination::subscription_message& message);
    void remove_closed_subscribers();
    void on_tick();
    dissemination::keep_alive make_keep_alive() const;
    bool has_leader_contact() const;

    observability::counter_sink& counters_;
    leader_contact_age_callback leader_contact_age_;
    std::size_t max_subscribers_;
    dissemination::delta_history history_;
    std::map<std::uint64_t, subscription> subscribers_;
    std::uint64_t next_id_ = 1;
    /// The latest snapshot that was sent, encoded. Reused for subscribers that arrive at the same time.
    std::string encoded_snapshot_;
    core::version encoded_snapshot_version_;
    /// Deltas to the latest version that were sent to new subscribers, encoded, by the version at which they begin.
    std::map<std::pair<core::version, dissemination::wire::delta_compression>, std::string> encoded_deltas_;
    core::time_point keep_alive_sent_at_;
    /// Whether there was leader contact when the last keep-alive was sent.
    bool had_leader_contact_ = false;
    QTimer timer_;
};

} // namespace ibisdyke::frontends
