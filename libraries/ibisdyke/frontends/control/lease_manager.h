#pragma once

#include "ibisdyke/accounting/usage_collector.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/frontends/control/control_group.h"
#include "ibisdyke/frontends/control/rollout_status.h"
#include "ibisdyke/membership/follower_table.h"
#include "ibisdyke/membership/lease_table.h"
#include "ibisdyke/membership/sender_table.h"
#include "ibisdyke/observability/counter_sink.h"
#include "ibisdyke/observability/state_reporter.h"
#include "ibisdyke/transport/http2_client.h"
#include "ibisdyke/transport/rpc_router.h"
#include "ibisdyke/transport/traffic_meter.h"

#include <QObject>
#include <QTimer>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibisdyke::frontends {

/// Receives the heartbeats of agents and balancers at a control process. A follower answers them and reports changes
/// and liveness to the leader in batches. The leader holds the leases and proposes membership changes and usage
/// batches. Lives on the control thread.
///
///     lease_manager leases(router, group, counters, source_address, &meter, accounting::decode_usage_report,
///         membership::lease_limits{}, &application);
///     admin_api api(group, leases, counters, &application); // uses the rollout_status
class lease_manager : public QObject, public rollout_status, public observability::state_reporter {
public:
    /// Decodes heartbeat::usage. Throws core::malformed_message.
    using usage_decoder = std::function<accounting::usage_report(std::string_view)>;

    /// Registers the manager's calls at `router`. The references and `meter` (which may be null) must outlive the
    /// manager, and the manager must outlive the last call of `router`. `source_address` is the local address for
    /// sending batches; 0 lets the system choose.
    lease_manager(transport::rpc_router& router, control_group& group, observability::counter_sink& counters,
        std::uint32_t source_address, transport::traffic_meter* meter, usage_decoder decode_usage,
        const membership::lease_limits& limits, QObject* parent);

    bool is_complete() const override;
    std::vector<membership::process_status> processes() const override;

    std::string name() const override { return "leases"; }
    QJsonObject report() const override;

private:
    using responder = std::shared_ptr<transport::rpc_responder>;

    /// A heartbeat that is answered once the leader has accepted or refused its sender, or after max_heartbeat_wait.
    struct pending_heartbeat {
        core::incarnation sender;
        core::time_point received;
        responder caller;
    };

    void on_heartbeat(const std::string& body, const responder& caller);
    void on_forwarded_heartbeat(const std::string& body, const responder& caller);
    void answer_as_leader(const std::string& body, const responder& caller);
    void answer_no_leader(const responder& caller) const;
    void on_batch(const std::string& body, const responder& caller);
    void answer_as_follower(const std::string& body, const responder& caller);
    void report_to_leader(core::time_point now);
    void send_batch(core::time_point now);
    void on_batch_answer(std::uint64_t number, const std::string& body);
    void answer_pending_heartbeats(core::time_point now);
    /// Throws core::malformed_message.
    void add_usage(const std::string& usage);
    /// Like add_usage(), but counts and logs malformed usage instead of throwing.
    void add_batch_usage(const std::string& usage);
    void on_tick();
    void update_role(core::time_point now);
    void apply_state(const dissemination::system_state_snapshot& state);
    void propose_membership_change(core::time_point now);
    void submit_usage(core::time_point now);

    control_group& group_;
    observability::counter_sink& counters_;
    std::uint32_t source_address_;
    transport::traffic_meter* meter_;
    usage_decoder decode_usage_;
    membership::lease_limits limits_;
    /// Set while this process is the leader.
    std::optional<membership::lease_table> leases_;
    /// Whether a proposed membership change is not committed or refused yet.
    bool change_in_progress_ = false;
    /// The version of the last committed membership change.
    core::version last_change_version_;
    /// The sender lists of the followers; set while this process is the leader.
    std::optional<membership::follower_table> followers_;
    /// The agents and balancers that send their heartbeats to this process while it is a follower.
    membership::sender_table senders_;
    /// Heartbeats of senders that the leader has not accepted or refused yet.
    std::vector<pending_heartbeat> pending_heartbeats_;
    /// Connection to the leader. Null while this process leads or knows no leader.
    transport::http2_client* leader_client_ = nullptr;
    /// Usage that is not in the log yet; set while this process is the leader.
    std::optional<accounting::usage_collector> usage_collector_;
    /// Increases each time this process becomes the leader. The result of a usage batch from an earlier leadership is
    /// ignored, so that it does not finish a batch of the current one.
    std::uint64_t leadership_epoch_ = 0;
    QTimer timer_;
};

} // namespace ibisdyke::frontends
