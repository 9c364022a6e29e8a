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

/// Takes the heartbeats of agents and balancers at a control process. A follower answers them and passes on to the
/// leader in batches what changed and who is alive; the leader keeps the leases and proposes membership changes and
/// usage batches. Lives on the control thread.
///
///     lease_manager leases(router, group, counters, source_address, &meter, accounting::wire::decode_usage_report,
///         membership::lease_limits{}, &application);
///     administration_api api(..., leases);    // as rollout_status
class lease_manager : public QObject, public rollout_status, public observability::state_reporter {
public:
    /// Decodes heartbeat::usage; throws core::malformed_message.
    using usage_decoder = std::function<accounting::usage_report(std::string_view)>;

    /// Registers its calls at `router` at once. The references and `meter` (which may be null) must outlive the
    /// manager, and the manager must outlive the last call of `router`. `source_address` is the local address that
    /// batches are sent from, 0 for any.
    lease_manager(transport::rpc_router& router, control_group& group, observability::counter_sink& counters,
        std::uint32_t source_address, transport::traffic_meter* meter, usage_decoder decode_usage,
        const membership::lease_limits& limits, QObject* parent);

    bool is_complete() const override;
    std::vector<membership::process_status> processes() const override;

    std::string name() const override { return "leases"; }
    QJsonObject report() const override;

private:
    using responder = std::shared_ptr<transport::rpc_responder>;

    struct waiting_call {
        core::incarnation sender;
        core::time_point since;
        responder to;
    };

    void on_heartbeat(const std::string& body, const responder& to);
    void on_forwarded_heartbeat(const std::string& body, const responder& to);
    void answer_as_leader(const std::string& body, const responder& to);
    void answer_no_leader(const responder& to) const;
    void on_batch(const std::string& body, const responder& to);
    void answer_as_follower(const std::string& body, const responder& to);
    void follow_leader(core::time_point now);
    void send_batch(core::time_point now);
    void on_batch_answer(std::uint64_t number, const std::string& body);
    void answer_waiting(core::time_point now);
    void note_usage(const std::string& usage);
    void note_batch_usage(const std::string& usage);
    void on_tick();
    void follow_leadership(core::time_point now);
    void take_state(const dissemination::system_state_snapshot& state);
    void propose(core::time_point now);
    void submit_usage(core::time_point now);

    control_group& group_;
    observability::counter_sink& counters_;
    std::uint32_t source_address_;
    transport::traffic_meter* meter_;
    usage_decoder decode_usage_;
    membership::lease_limits limits_;
    /// Set while this process is the leader.
    std::optional<membership::lease_table> table_;
    /// A membership change is in progress.
    bool proposing_ = false;
    /// The version of the last membership change that was committed.
    core::version proposed_;
    /// The lists of the followers; set while this process is the leader.
    std::optional<membership::follower_table> followers_;
    /// The senders that send to this process while it is a follower.
    membership::sender_table senders_;
    /// Calls of senders that the leader does not know yet.
    std::vector<waiting_call> waiting_;
    /// Null while this process leads or knows no leader.
    transport::http2_client* leader_client_ = nullptr;
    /// Usage that is not in the log yet; set while this process is the leader.
    std::optional<accounting::usage_collector> usage_;
    /// Grows each time this process becomes the leader, so that a late result does not end a record of another time.
    std::uint64_t leadership_epoch_ = 0;
    QTimer timer_;
};

} // namespace ibisdyke::frontends
