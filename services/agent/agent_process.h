#pragma once

#include "ibisdyke/core/snapshot_publisher.h"
#include "ibisdyke/frontends/discovery/control_endpoints.h"
#include "ibisdyke/frontends/discovery/heartbeat_sender.h"
#include "ibisdyke/frontends/discovery/state_subscriber.h"
#include "ibisdyke/frontends/packets/packet_receiver.h"
#include "ibisdyke/frontends/process/front_end.h"
#include "ibisdyke/frontends/process/process_runtime.h"
#include "ibisdyke/frontends/requests/request_server.h"
#include "ibisdyke/frontends/requests/request_thread.h"
#include "ibisdyke/frontends/requests/usage_meter.h"
#include "ibisdyke/membership/departure_tracker.h"
#include "ibisdyke/membership/upstream_presence.h"
#include "ibisdyke/settings/settings_parser.h"

#include <QHttpServer>
#include <QTimer>

#include <memory>
#include <optional>
#include <string>

namespace ibisdyke::agent {

/// The agent of an upstream. A packet thread and a request thread deliver flows and requests to the upstream within its
/// limits. The control thread announces the upstream to the control processes and subscribes to the system state.
class agent_process final : public frontends::announcement_sink {
public:
    static void declare_settings(settings::settings_parser& parser);

    agent_process(frontends::process_runtime& runtime, const settings::settings_source& source,
        const frontends::front_end& front_end);

    /// Runs until the process stops.
    frontends::exit_code run();

    void on_announcement(const membership::announcement& it) override;
    void on_leave(const std::string& id) override;

private:
    void create_control_connections(const settings::setting_values& values);
    void create_packet_thread(const settings::setting_values& values, const frontends::front_end& front_end);
    void create_announcement_server(const settings::setting_values& values, const frontends::front_end& front_end);
    void create_health_server(const settings::setting_values& values, const frontends::front_end& front_end);
    void create_request_thread(const settings::setting_values& values);
    void on_state(const dissemination::system_state_snapshot& state);
    void on_heartbeat_answer(const membership::heartbeat_answer& answer);
    void set_own_id(const core::upstream_id& id);
    void find_own_id();
    bool is_restart_of(const core::upstream_id& id) const;
    core::incarnation upstream_incarnation() const;
    void read_own_record();
    void check_upstream_restart();
    const membership::upstream* find_own_upstream() const;
    bool is_draining() const;
    bool is_upstream_ready(core::time_point now) const;
    bool is_upstream_available(core::time_point now) const;
    configuration::domain_state domain_state() const;
    bool is_domain_out() const { return domain_state() == configuration::domain_state::out; }
    bool is_cold(core::time_point now) const;
    routing::flow_admission_limits make_admission(core::time_point now) const;
    frontends::health check_health() const;
    void start_heartbeats();
    void update_presence();
    void publish_identity();
    void publish_agent_snapshot();
    void count_flow_usage();
    core::neighbour charged_neighbour() const;
    void on_tick();
    membership::heartbeat make_heartbeat();
    void refresh(const core::version& seen);
    void stop();
    void begin_stop(core::time_point now);
    void finish_if_drained();
    /// Whether the upstream has announced that it stopped.
    bool has_upstream_left(core::time_point now) const;

    frontends::process_runtime& runtime_;
    std::string service_;
    core::endpoint packet_endpoint_;
    core::endpoint request_endpoint_;
    std::uint32_t slots_;
    core::milliseconds drain_limit_;
    core::milliseconds recovery_window_;
    /// Whether the pace of new flows after a start follows the upstream's responses.
    bool adapts_start_pace_;
    core::time_point started_at_;
    core::wall_time started_at_wall_time_;

    core::snapshot_publisher<dissemination::system_state> states_;
    core::snapshot_publisher<routing::routing_table> routes_;
    core::snapshot_publisher<frontends::agent_identity> identities_;
    core::snapshot_publisher<routing::agent_snapshot> agent_snapshots_;
    frontends::usage_meter usage_;
    /// The counts of the packet thread when the usage was last charged.
    frontends::packet_receiver_view last_view_;

    /// The version of the first received state. Upstreams that joined at or before this version were announced by an
    /// earlier process.
    std::optional<core::version> first_state_version_;
    std::optional<core::upstream_id> id_;
    /// Whether a received state contains the record of the upstream with this id.
    bool id_confirmed_ = false;
    /// Whether an earlier agent process announced this upstream.
    bool process_restarted_ = false;
    /// Whether the upstream incarnation that an earlier process reported has been compared with the current one.
    bool upstream_run_checked_ = false;
    /// Whether the upstream has restarted since the earlier process reported it, so that there are no flows to recover.
    bool upstream_restarted_ = false;
    double mean_open_flows_ = 0;
    configuration::domain_state last_domain_state_ = configuration::domain_state::in;
    std::optional<core::time_point> stop_deadline_;
    /// Set when the process was told to stop while a departure notice was undecided: when it stops in any case.
    std::optional<core::time_point> departure_decision_deadline_;
    bool requests_drained_ = false;
    membership::departure_tracker departure_;

    /// Empty when the upstream does not announce itself. The upstream then counts as ready while its agent runs.
    std::optional<membership::upstream_presence> presence_;
    /// The presence that was logged and sent in a heartbeat last.
    membership::presence reported_presence_ = membership::presence::absent;
    bool heartbeats_started_ = false;
    /// The run of the upstream that was last sent in a heartbeat at once.
    core::incarnation reported_run_{};
    /// Whether the last heartbeat was refused. The next state may remove the reason, so a heartbeat then follows at
    /// once.
    bool heartbeat_refused_ = false;
    /// Whether the upstream returns packets of flows that it does not know.
    bool upstream_returns_packets_ = false;
    /// When the failure domain last began to accept new flows again. The upstream may have restarted before that, so
    /// until its next announcement it may be in a cold start.
    std::optional<core::time_point> domain_reopened_at_;

    std::unique_ptr<frontends::state_subscriber> subscriber_;
    std::unique_ptr<frontends::heartbeat_sender> heartbeats_;
    std::unique_ptr<frontends::packet_receiver> receiver_;
    std::unique_ptr<frontends::control_endpoints> control_endpoints_;
    std::unique_ptr<QHttpServer> announcement_server_;
    std::unique_ptr<QHttpServer> health_server_;
    QTimer timer_;
    /// Null when the agent does not accept requests.
    frontends::request_server* requests_ = nullptr;
    /// Declared last, so that its thread ends before the objects that it reads are destroyed.
    std::unique_ptr<frontends::request_thread> request_thread_;
};

} // namespace ibisdyke::agent
