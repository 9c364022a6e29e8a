#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/dissemination/delta_history.h"
#include "ibisdyke/dissemination/messages.h"
#include "ibisdyke/dissemination/relay_assignment.h"
#include "ibisdyke/dissemination/system_state.h"
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

namespace ibisdyke::frontends {

/// Serves the system state to subscribers, at control processes and balancers. Lives on the control thread.
///
/// At a control process, created before the log is replayed so that the history holds what the log holds:
///
///     subscription_server server(router, counters, [&]() -> std::optional<core::milliseconds> {
///         if (group.is_leader() || group.leader())
///             return core::milliseconds{0};
///         return std::nullopt;
///     }, dissemination::default_max_subscribers, &application);
///     server.publish(group.state());
///     group.on_state_change([&](const auto& state) { server.publish(state); });
///
/// At a balancer see state_subscriber.
class subscription_server : public QObject, public observability::state_reporter {
public:
    /// Returns how long ago a control process in touch with a leader vouched for the state of this process; nothing
    /// when that is not known.
    using leader_contact_callback = std::function<std::optional<core::milliseconds>()>;

    /// Registers its subscription at `router` at once. The references must outlive the server, and the server must
    /// outlive the last request of `router`.
    subscription_server(transport::rpc_router& router, observability::counter_sink& counters,
        leader_contact_callback vouch, std::size_t max_subscribers, QObject* parent);

    /// Takes the next state and sends what changed to all subscribers. An older state is ignored.
    void publish(const dissemination::system_state_snapshot& state);

    /// Sends a keep-alive to all subscribers now. A relay does so when it receives one, so that the age of its feed
    /// does not add up along the tree.
    void send_keep_alives();

    std::size_t subscriber_count() const { return subscribers_.size(); }

    std::string name() const override { return "subscriptions"; }
    QJsonObject report() const override;

private:
    struct subscription {
        dissemination::subscriber info;
        std::string name;
        std::shared_ptr<transport::rpc_publisher> publisher;
    };

    void on_subscribe(const std::string& body, const std::shared_ptr<transport::rpc_publisher>& publisher);
    void accept(
        const dissemination::subscribe_request& request, const std::shared_ptr<transport::rpc_publisher>& publisher);
    void send_first(const dissemination::subscribe_request& request, transport::rpc_publisher& publisher);
    void redirect(transport::rpc_publisher& publisher, const core::endpoint& target);
    void send(transport::rpc_publisher& publisher, const std::string& message);
    void send_to_all(const std::string& message);
    void drop_closed();
    void on_tick();
    dissemination::keep_alive make_keep_alive() const;
    bool has_leader_contact() const;

    observability::counter_sink& counters_;
    leader_contact_callback vouch_;
    std::size_t max_subscribers_;
    dissemination::delta_history history_;
    std::map<std::uint64_t, subscription> subscribers_;
    std::uint64_t next_id_ = 1;
    /// The encoded latest snapshot, for subscribers that arrive together.
    std::string encoded_snapshot_;
    core::version encoded_version_;
    core::time_point keep_alive_sent_;
    bool leader_contact_ = false;
    QTimer timer_;
};

} // namespace ibisdyke::frontends
