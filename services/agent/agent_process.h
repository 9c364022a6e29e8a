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
#include "ibisdyke/membership/upstream_presence.h"
#include "ibisdyke/settings/settings_parser.h"

#include <QHttpServer>
#include <QTimer>

#include <memory>
#include <optional>
#include <string>

namespace ibisdyke::agent {

/// The agent beside an upstream: a packet thread and a request thread that guard the upstream, and a control thread
/// that announces it and follows the system state.
class agent_process final : public frontends::announcement_sink {
public:
    static void declare_settings(settings::settings_parser& parser);

    agent_process(frontends::process_runtime& runtime, const settings::settings_source& source,
        const frontends::front_end& world);

    /// Returns when the process is to end.
    frontends::exit_code run();

    void on_announcement(const membership::announcement& it) override;
    void on_leave(const std::string& id) override;

private:
    void create_control_connections(const settings::setting_values& values);
    void create_packet_thread(const settings::setting_values& values, const frontends::front_end& world);
    void create_announcement_server(const settings::setting_values& values, const frontends::front_end& world);
    void create_health_server(const settings::setting_values& values, const frontends::front_end& world);
    void create_request_thread(const settings::setting_values& values);
    void take_state(const dissemination::system_state_snapshot& state);
    void take_answer(const membership::heartbeat_answer& answer);
    void set_id(const core::upstream_id& id);
    void find_id();
    bool is_restart_of(const core::upstream_id& id) const;
    core::incarnation upstream_incarnation() const;
    void note_survival();
    const membership::upstream* find_self() const;
    bool is_draining() const;
    bool is_upstream_ready(core::time_point now) const;
    configuration::domain_state domain_state() const;
    bool is_domain_out() const { return domain_state() == configuration::domain_state::out; }
    bool is_cold(core::time_point now) const;
    routing::flow_admission_limits make_admission(core::time_point now) const;
    frontends::health check_health() const;
    void start_heartbeats();
    void note_presence();
    void publish_identity();
    void publish_facts();
    void count_flow_usage();
    core::neighbour flow_consumer() const;
    void on_tick();
    membership::heartbeat make_heartbeat();
    void refresh(const core::version& seen);
    void stop();
    void check_drained();

    frontends::process_runtime& runtime_;
    std::string service_;
    core::endpoint packet_endpoint_;
    core::endpoint request_endpoint_;
    std::uint32_t slots_;
    core::milliseconds drain_limit_;
    core::milliseconds recovery_window_;
    core::time_point started_;
    core::wall_time started_wall_;

    core::snapshot_publisher<dissemination::system_state> states_;
    core::snapshot_publisher<routing::routing_table> routes_;
    core::snapshot_publisher<frontends::agent_identity> identities_;
    core::snapshot_publisher<routing::agent_snapshot> facts_;
    frontends::usage_meter usage_;
    frontends::packet_receiver_view counted_;

    /// The version of the first state received: upstreams that joined up to it were announced by an earlier process.
    std::optional<core::version> first_seen_;
    std::optional<core::upstream_id> id_;
    bool restarted_ = false;
    /// Whether the upstream that an earlier process guarded was compared with the present one.
    bool survival_known_ = false;
    /// The upstream has restarted as well, so there are no flows to recover.
    bool flows_lost_ = false;
    double mean_open_flows_ = 0;
    configuration::domain_state seen_domain_ = configuration::domain_state::in;
    std::optional<core::time_point> stop_deadline_;
    bool requests_drained_ = false;

    /// Nothing when the upstream does not announce itself: it then is there as long as its agent.
    std::optional<membership::upstream_presence> presence_;
    /// What the last heartbeat said of the upstream.
    membership::presence announced_ = membership::presence::absent;
    bool heartbeats_started_ = false;
    bool upstream_disowns_ = false;
    /// When the failure domain took in flows again. The upstream may have restarted while it got none.
    std::optional<core::time_point> reopened_;

    std::unique_ptr<frontends::state_subscriber> subscriber_;
    std::unique_ptr<frontends::heartbeat_sender> heartbeats_;
    std::unique_ptr<frontends::packet_receiver> receiver_;
    std::unique_ptr<frontends::control_endpoints> contacts_;
    std::unique_ptr<QHttpServer> announcement_server_;
    std::unique_ptr<QHttpServer> health_server_;
    QTimer timer_;
    /// Null when the agent takes no requests.
    frontends::request_server* requests_ = nullptr;
    /// Last, so that its thread ends before what it reads is destroyed.
    std::unique_ptr<frontends::request_thread> request_thread_;
};

} // namespace ibisdyke::agent
