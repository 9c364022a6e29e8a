#pragma once

#include "ibisdyke/core/snapshot_publisher.h"
#include "ibisdyke/frontends/discovery/control_endpoints.h"
#include "ibisdyke/frontends/discovery/heartbeat_sender.h"
#include "ibisdyke/frontends/discovery/state_subscriber.h"
#include "ibisdyke/frontends/discovery/subscription_server.h"
#include "ibisdyke/frontends/packets/forwarding_snapshot.h"
#include "ibisdyke/frontends/packets/packet_forwarder.h"
#include "ibisdyke/frontends/process/front_end.h"
#include "ibisdyke/frontends/process/process_runtime.h"
#include "ibisdyke/frontends/requests/request_gateway.h"
#include "ibisdyke/frontends/requests/request_thread.h"
#include "ibisdyke/routing/reachability_monitor.h"
#include "ibisdyke/settings/settings_parser.h"
#include "ibisdyke/transport/rpc_router.h"

#include <QHttpServer>
#include <QTimer>
#include <QUdpSocket>

#include <memory>
#include <vector>

namespace ibisdyke::balancer {

/// A balancer. Packet threads and a request thread read the published routing table. The control thread keeps the table
/// up to date and serves the system state to subscribers.
class balancer_process {
public:
    static void declare_settings(settings::settings_parser& parser);

    balancer_process(frontends::process_runtime& runtime, const settings::settings_source& source,
        const frontends::front_end& front_end);

    /// Runs until the process stops.
    frontends::exit_code run();

private:
    void create_packet_threads(const settings::setting_values& values, const frontends::front_end& front_end);
    void create_health_server(const settings::setting_values& values, const frontends::front_end& front_end);
    void create_notice_socket(const core::endpoint& address);
    void read_notices();
    void on_version_notice(const routing::version_notice& it);
    void on_retransmitted_syn(const std::vector<routing::chain_member>& candidates);
    void on_agent_stopping(const core::upstream_id& agent, core::time_point now);
    void probe_agents();
    void schedule_probe(core::time_point now);
    void publish_reachability();
    void create_request_gateway(const settings::setting_values& values);
    void create_control_connections(const settings::setting_values& values);
    void on_state(const dissemination::system_state_snapshot& state);
    membership::heartbeat make_heartbeat() const;
    frontends::health check_health() const;
    void refresh(const core::version& seen);
    void stop();
    void drain_requests();

    frontends::process_runtime& runtime_;
    core::endpoint peer_endpoint_;
    core::milliseconds stop_delay_;
    bool stopping_ = false;

    core::snapshot_publisher<dissemination::system_state> states_;
    core::snapshot_publisher<routing::routing_table> routes_;
    core::snapshot_publisher<frontends::forwarding_snapshot> forwarding_snapshots_;

    transport::rpc_router router_;
    transport::http2_server* peer_server_ = nullptr;
    std::unique_ptr<frontends::state_subscriber> subscriber_;
    std::unique_ptr<frontends::subscription_server> subscriptions_;
    std::unique_ptr<frontends::heartbeat_sender> heartbeats_;
    std::unique_ptr<frontends::control_endpoints> control_endpoints_;
    /// Receives the version notices of agents; null when agents send them to the packet sockets.
    std::unique_ptr<QUdpSocket> notice_socket_;
    core::endpoint notice_endpoint_;
    routing::reachability_monitor reachability_;
    QTimer probe_timer_;
    std::vector<std::unique_ptr<frontends::packet_forwarder>> forwarders_;
    std::unique_ptr<QHttpServer> health_server_;
    /// Null when the balancer does not accept requests.
    frontends::request_gateway* gateway_ = nullptr;
    /// Declared last, so that its thread ends before the objects that it reads are destroyed.
    std::unique_ptr<frontends::request_thread> request_thread_;
};

} // namespace ibisdyke::balancer
