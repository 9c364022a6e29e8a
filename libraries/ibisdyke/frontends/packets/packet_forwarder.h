#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/snapshot_publisher.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/core/version.h"
#include "ibisdyke/frontends/packets/forwarding_snapshot.h"
#include "ibisdyke/frontends/packets/packet_format.h"
#include "ibisdyke/observability/counter_registry.h"
#include "ibisdyke/observability/state_reporter.h"
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

/// A packet thread of a balancer. Receives IP packets from the fabric, each in a UDP datagram, and sends each one,
/// behind its header, to the first member of its chain. Keeps no state of flows. Several of them may share one address.
///
/// Its socket also takes the version notices of agents.
///
///     core::snapshot_publisher<frontends::forwarding_snapshot> tables;
///     auto socket = transport::udp_socket::create(packet_endpoint, transport::address_sharing::shared);
///     frontends::packet_forwarder forwarder("packet_forwarder_0", std::move(socket), std::nullopt, format,
///         std::make_unique<routing::chain_router>(), tables, counters, *control_context,
///         {[&](const core::version& latest, const core::endpoint& agent) { subscription.refresh_to(latest); }, {}});
///     forwarder.start();
///     // On each new system state, on the control thread:
///     chains = routing::routing_table::create(state.applied, frontends::routing_input(state), chains);
///     tables.publish(frontends::forwarding_snapshot::create(chains, tables.load(), std::chrono::steady_clock::now()));
class packet_forwarder final : public observability::state_reporter {
public:
    /// Called on the control thread when an agent has a newer version than this balancer.
    using newer_version_callback = std::function<void(const core::version& latest, const core::endpoint& agent)>;

    /// Called on the control thread with the members that may take the flow of a SYN that came again.
    using repeated_syn_callback = std::function<void(const std::vector<routing::chain_member>& candidates)>;

    struct callbacks {
        newer_version_callback on_newer_version;
        /// May be empty.
        repeated_syn_callback on_repeated_syn;
    };

    /// `name` is the key in the state dump. Version notices go to `notices`, or else to the socket itself, when its
    /// datagrams can be told from packets of the format. `control` is an object of the control thread, which must have
    /// an event loop; it and the other references must outlive the forwarder.
    packet_forwarder(std::string name, std::unique_ptr<transport::datagram_socket> socket,
        std::optional<core::endpoint> notices, std::shared_ptr<const packet_format> format,
        std::unique_ptr<routing::router> router, const core::snapshot_publisher<forwarding_snapshot>& tables,
        observability::counter_registry& counters, QObject& control, callbacks on);

    /// Stops.
    ~packet_forwarder() override;
    packet_forwarder(const packet_forwarder&) = delete;
    packet_forwarder& operator=(const packet_forwarder&) = delete;
    packet_forwarder(packet_forwarder&&) = delete;
    packet_forwarder& operator=(packet_forwarder&&) = delete;

    void start();

    /// Returns after the thread has ended. Packets that have arrived and were not read are lost.
    void stop();

    /// Returns where packets from the fabric are received.
    core::endpoint local() const { return local_; }

    std::string name() const override { return name_; }
    QJsonObject report() const override;

private:
    void run();
    void use_latest_table();
    void handle_batch(core::time_point now);
    void read(std::size_t i, core::time_point now);
    void read_packet(std::size_t i, std::string_view packet);
    void send_on(std::size_t i, const routing::route& route);
    void note_repeated_syn(const routing::route& route, core::time_point now);
    void answer_unrouted(std::size_t i, const routing::packet_info& facts, core::time_point now);
    void take_notice(std::string_view message, const core::endpoint& agent, core::time_point now);

    std::string name_;
    std::unique_ptr<transport::datagram_socket> socket_;
    core::endpoint local_;
    std::optional<core::endpoint> notices_endpoint_;
    std::shared_ptr<const packet_format> format_;
    std::unique_ptr<routing::router> router_;
    const core::snapshot_publisher<forwarding_snapshot>& tables_;
    QObject& control_;
    callbacks on_;

    observability::counter& forwarded_packets_;
    observability::counter& forwarded_bytes_;
    observability::counter& without_table_;
    observability::counter& without_service_;
    observability::counter& rejected_;
    observability::counter& malformed_;
    observability::counter& fragments_;
    observability::counter& unsupported_;
    observability::counter& send_failures_;
    observability::counter& notices_;

    /// Used by the packet thread only.
    std::shared_ptr<const forwarding_snapshot> table_;
    /// The part of the header that depends on the table's version only.
    std::string origin_;
    transport::datagram_batch batch_;
    /// Packets of the batch, by their index in it, with their routes.
    std::vector<std::pair<std::size_t, routing::packet_info>> packets_;
    std::vector<std::optional<routing::route>> routes_;
    std::vector<transport::outgoing_datagram> outgoing_;
    core::time_point last_notice_{};
    core::time_point last_repeated_syn_{};
    routing::rate_limiter answers_;
    /// Bytes of datagrams that are not in the batch, until they are sent.
    std::vector<std::unique_ptr<const std::string>> made_;

    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace ibisdyke::frontends
