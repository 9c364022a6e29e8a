#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/snapshot_publisher.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/core/version.h"
#include "ibisdyke/frontends/packets/delivered_headers.h"
#include "ibisdyke/frontends/packets/packet_format.h"
#include "ibisdyke/observability/counter_registry.h"
#include "ibisdyke/observability/state_reporter.h"
#include "ibisdyke/routing/agent_snapshot.h"
#include "ibisdyke/routing/backlog_monitor.h"
#include "ibisdyke/routing/flow_agent.h"
#include "ibisdyke/transport/datagram_socket.h"

#include <QJsonObject>
#include <QObject>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace ibisdyke::frontends {

/// Settings of an agent's packet thread.
struct packet_receiver_settings {
    /// The endpoint at which the upstream receives packets, each in a UDP datagram.
    core::endpoint upstream;
    routing::flow_limits limits;
    /// Limits the searches per second that are extended to members outside the balancer's chain.
    double extensions_per_second = 100;
    routing::rejection_limits rejections;

    friend bool operator==(const packet_receiver_settings&, const packet_receiver_settings&) = default;
};

/// What an agent's packet thread reports in heartbeats.
struct packet_receiver_view {
    std::uint64_t open_flows = 0;
    /// Open flows that are not being closed.
    std::uint64_t active_flows = 0;
    core::version flow_watermark;
    /// Usage of the agent's service since the start of the process. These counts never decrease.
    std::uint64_t flows = 0;
    std::uint64_t packets = 0;
    std::uint64_t bytes = 0;

    friend bool operator==(const packet_receiver_view&, const packet_receiver_view&) = default;
};

/// The packet thread of an agent. Receives packets with headers from balancers and other agents. Delivers each packet
/// to the upstream, forwards it along its chain, rejects it with a TCP RST or an ICMP "port unreachable" to its caller,
/// or drops it.
///
///     core::snapshot_publisher<routing::agent_snapshot> snapshots;
///     auto socket = transport::udp_socket::create(packet_endpoint, transport::address_sharing::exclusive);
///     const auto format = std::make_shared<const frontends::ip_packet_format>(caller_return);
///     frontends::packet_receiver receiver(settings, {std::move(socket), nullptr}, {format, nullptr}, snapshots,
///         counters, *runtime.parent(), [&](const core::version& latest, const core::endpoint&) {
///         subscriber.refresh(latest); });
///     receiver.start();
///     // On each new system state, heartbeat answer or change of admission, on the control thread:
///     routing::agent_snapshot next;
///     next.self = id;
///     next.service = service;
///     next.applied = state.applied;
///     next.table = table;
///     next.members = table->find_service(service);
///     snapshots.publish(std::make_shared<const routing::agent_snapshot>(next));
///     // For each heartbeat:
///     const auto view = receiver.view();
class packet_receiver final : public observability::state_reporter {
public:
    /// Called on the control thread when a balancer has a newer version of the system state than this agent.
    using newer_version_callback = std::function<void(const core::version& latest, const core::endpoint& balancer)>;

    /// The sockets that receive packets.
    struct sockets {
        /// Receives from balancers and other agents.
        std::unique_ptr<transport::datagram_socket> peers;
        /// Receives from the upstream; null where its answers to callers bypass the agent.
        std::unique_ptr<transport::datagram_socket> upstream;
    };

    /// The formats of the packets within datagrams.
    struct formats {
        std::shared_ptr<const packet_format> callers;
        /// Null where the upstream's answers to callers bypass the agent.
        std::shared_ptr<const upstream_packet_format> upstream;
    };

    /// `control` is an object of the control thread, which must have an event loop. `control` and the other references
    /// must outlive the receiver.
    packet_receiver(const packet_receiver_settings& settings, sockets receive_from, formats packet_formats,
        const core::snapshot_publisher<routing::agent_snapshot>& snapshots, observability::counter_registry& counters,
        QObject& control, newer_version_callback on_newer_version);

    /// Stops the thread.
    ~packet_receiver() override;
    packet_receiver(const packet_receiver&) = delete;
    packet_receiver& operator=(const packet_receiver&) = delete;
    packet_receiver(packet_receiver&&) = delete;
    packet_receiver& operator=(packet_receiver&&) = delete;

    void start();

    /// Returns after the thread has ended. Packets that have arrived by then are still handled.
    void stop();

    /// Returns the endpoint that receives packets from balancers and other agents.
    core::endpoint local() const { return local_; }

    /// Returns the state of the packet thread, at most 100 ms old. Callable from any thread.
    packet_receiver_view view() const;

    std::string name() const override { return "packet_receiver"; }
    QJsonObject report() const override;

private:
    struct packet_counters;

    /// A balancer whose packets this agent has received.
    struct balancer {
        core::time_point last_heard{};
        core::time_point last_notice{};
    };

    void run();
    bool read_peers();
    bool read_upstream();
    void read_remaining();
    void handle_batch(core::time_point now);
    void handle_upstream_datagram(std::size_t i, core::time_point now);
    void track_answer(std::string_view packet, core::time_point now);
    void handle_returned(std::string_view packet, core::time_point now);
    void send_all();
    void handle_datagram(std::size_t i, core::time_point now);
    void handle_packet(std::string_view message, std::string_view packet, core::time_point now);
    void execute(
        const routing::packet_decision& decision, const routing::packet_header& header, std::string_view packet);
    void deliver(std::string_view packet, const routing::packet_header& header);
    /// Stores the bytes of an outgoing datagram until send_all() has sent them.
    std::string_view store(std::string bytes);
    void reject(std::string_view packet);
    void send_notice(const core::endpoint& to);
    void compare_versions(const routing::packet_header& header, balancer& sender, core::time_point now);
    void log_upstream_state(bool failing);
    void log_start_events();
    void answer_probe(const routing::packet_header& probe);
    balancer& update_sender(const core::endpoint& sender, core::time_point now);
    void announce_stop(core::time_point now);
    void maintain(core::time_point now);
    void record_progress(core::time_point now, core::milliseconds max_wait);
    routing::packet_decision decide(
        const routing::packet_info& packet, const routing::packet_header& header, core::time_point now);

    packet_receiver_settings settings_;
    sockets sockets_;
    formats formats_;
    core::endpoint local_;
    const core::snapshot_publisher<routing::agent_snapshot>& snapshot_publisher_;
    QObject& control_;
    newer_version_callback on_newer_version_;
    std::unique_ptr<packet_counters> counters_;

    // The members from here to last_maintenance_ are used by the packet thread only.
    std::shared_ptr<const routing::agent_snapshot> snapshot_;
    routing::flow_agent agent_;
    routing::backlog_monitor backlog_;
    /// Copied to view_ by maintain().
    packet_receiver_view next_view_;
    delivered_headers delivered_;
    transport::datagram_batch batch_;
    std::vector<transport::outgoing_datagram> outgoing_;
    /// Owns the bytes of outgoing datagrams that are not in the batch, until they are sent.
    std::vector<std::unique_ptr<const std::string>> generated_;
    std::map<core::endpoint, balancer> balancers_;
    core::time_point last_newer_version_report_{};
    /// Whether the upstream was failing when its state was last logged.
    bool logged_failing_ = false;
    core::time_point last_maintenance_{};

    mutable std::mutex view_mutex_;
    packet_receiver_view view_;

    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace ibisdyke::frontends
