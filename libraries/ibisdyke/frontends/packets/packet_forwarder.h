#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/snapshot_publisher.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/core/version.h"
#include "ibisdyke/frontends/packets/forwarding_snapshot.h"
#include "ibisdyke/frontends/packets/packet_format.h"
#include "ibisdyke/observability/counter_registry.h"
#include "ibisdyke/observability/state_reporter.h"
#include "ibisdyke/routing/backlog_monitor.h"
#include "ibisdyke/routing/rate_limiter.h"
#include "ibisdyke/routing/router.h"
#include "ibisdyke/transport/datagram_socket.h"

#include <QJsonObject>
#include <QObject>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace ibisdyke::frontends {

/// A packet thread of a balancer. Receives IP packets from the fabric, each in a UDP datagram, prepends a packet header
/// to each one and forwards it to the first member of its chain. Keeps no state of flows. Several forwarders may share
/// one address.
///
/// The socket of the forwarder also receives the version notices of agents.
///
///     core::snapshot_publisher<frontends::forwarding_snapshot> tables;
///     auto socket = transport::udp_socket::create(packet_endpoint, transport::address_sharing::shared);
///     frontends::packet_forwarder forwarder("packet_forwarder_0", std::move(socket), std::nullopt, format,
///         std::make_unique<routing::chain_router>(), tables, counters, *runtime.parent(),
///         {[&](const core::version& latest, const core::endpoint& agent) { subscriber.refresh(latest); }, {}});
///     forwarder.start();
///     // On each new system state, on the control thread:
///     chains = routing::routing_table::create(state.applied, frontends::routing_input(state), chains);
///     tables.publish(frontends::forwarding_snapshot::create(chains, tables.load(), std::chrono::steady_clock::now()));
class packet_forwarder final : public observability::state_reporter {
public:
    /// Called on the control thread when an agent has a newer version of the system state than this balancer.
    using newer_version_callback = std::function<void(const core::version& latest, const core::endpoint& agent)>;

    /// Called on the control thread when a caller has retransmitted a SYN, with the candidates for its flow.
    using retransmitted_syn_callback = std::function<void(const std::vector<routing::chain_member>& candidates)>;

    struct callbacks {
        newer_version_callback on_newer_version;
        /// May be empty.
        retransmitted_syn_callback on_retransmitted_syn;
    };

    /// `name` is the key in the state dump. Agents send version notices to `notices` if it is set, and otherwise to the
    /// socket itself; in this case, notices must be distinguishable from packets of the format. `control` is an object
    /// of the control thread, which must have an event loop. `control` and the other references must outlive the
    /// forwarder.
    packet_forwarder(std::string name, std::unique_ptr<transport::datagram_socket> socket,
        std::optional<core::endpoint> notices, std::shared_ptr<const packet_format> format,
        std::unique_ptr<routing::router> router, const core::snapshot_publisher<forwarding_snapshot>& tables,
        observability::counter_registry& counters, QObject& control, callbacks handlers);

    /// Stops the thread.
    ~packet_forwarder() override;
    packet_forwarder(const packet_forwarder&) = delete;
    packet_forwarder& operator=(const packet_forwarder&) = delete;
    packet_forwarder(packet_forwarder&&) = delete;
    packet_forwarder& operator=(packet_forwarder&&) = delete;

    void start();

    /// Returns after the thread has ended. Packets that have arrived by then are still forwarded.
    void stop();

    /// Returns the endpoint that receives packets from the fabric.
    core::endpoint local() const { return local_; }

    std::string name() const override { return name_; }
    QJsonObject report() const override;

private:
    void run();
    void use_latest_table();
    void record_progress(core::time_point now, core::milliseconds max_wait);
    void handle_batch(core::time_point now);
    void read_datagram(std::size_t i, core::time_point now);
    void read_packet(std::size_t i, std::string_view packet);
    void queue_packet(std::size_t i, const routing::route& route);
    void report_retransmitted_syn(const routing::route& route, core::time_point now);
    void handle_unrouted(std::size_t i, const routing::packet_info& info, core::time_point now);
    void handle_notice(std::string_view message, const core::endpoint& agent, core::time_point now);

    std::string name_;
    std::unique_ptr<transport::datagram_socket> socket_;
    core::endpoint local_;
    std::optional<core::endpoint> notices_endpoint_;
    std::shared_ptr<const packet_format> format_;
    std::unique_ptr<routing::router> router_;
    const core::snapshot_publisher<forwarding_snapshot>& tables_;
    QObject& control_;
    callbacks callbacks_;

    observability::counter& forwarded_packets_;
    observability::counter& forwarded_bytes_;
    observability::counter& without_table_;
    observability::counter& without_upstream_;
    observability::counter& rejected_;
    observability::counter& malformed_;
    observability::counter& fragments_;
    observability::counter& unsupported_;
    observability::counter& send_failures_;
    observability::counter& notices_;
    observability::counter& outdated_;
    observability::counter& stalls_;

    // The members from here to generated_ are used by the packet thread only.
    std::shared_ptr<const forwarding_snapshot> table_;
    /// The part of the encoded packet header that depends only on the table's version.
    std::string encoded_origin_;
    routing::backlog_monitor backlog_;
    transport::datagram_batch batch_;
    /// Packets of the batch with their indexes in it, and their routes in the same order.
    std::vector<std::pair<std::size_t, routing::packet_info>> packets_;
    std::vector<std::optional<routing::route>> routes_;
    std::vector<transport::outgoing_datagram> outgoing_;
    core::time_point last_notice_report_{};
    core::time_point last_retransmitted_syn_report_{};
    routing::rate_limiter reject_limiter_;
    /// Owns the bytes of outgoing datagrams that are not in the batch, until they are sent.
    std::vector<std::unique_ptr<const std::string>> generated_;

    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace ibisdyke::frontends
