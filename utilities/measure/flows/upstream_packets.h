#pragma once

#include "ibisdyke/core/time.h"
#include "measure/flows/flow_packet.h"
#include "measure/support/cold_start.h"

#include <QObject>
#include <QUdpSocket>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace ibisdyke::measure {

/// Settings of the packet side of a fake upstream.
struct upstream_packets_spec {
    /// "SERVICE-N".
    std::string name;
    std::string service;
    core::endpoint service_address;
    core::endpoint listen;
    /// Endpoint to which packets to callers are sent.
    core::endpoint callers;
    /// Limit on new flows per second at full load; 0 means no limit.
    double new_flows_per_s = 0;
    double cold_share = 0.1;
    core::milliseconds cold_ramp{10'000};

    friend bool operator==(const upstream_packets_spec&, const upstream_packets_spec&) = default;
};

/// Results of the packet side of a fake upstream.
struct upstream_packets_counts {
    std::uint64_t packets = 0;
    /// Packets for another service.
    std::uint64_t misrouted = 0;
    /// New flows beyond the limit of the cold start.
    std::uint64_t cold_overload = 0;
    std::size_t open_flows = 0;
    core::time_point last_packet;
    core::time_point last_new_flow;

    friend bool operator==(const upstream_packets_counts&, const upstream_packets_counts&) = default;
};

/// The packet side of a fake upstream. Receives IP packets from its agent, keeps a connection table as a kernel does,
/// and sends answers to callers without passing them through the agent.
class upstream_packets : public QObject {
public:
    upstream_packets(upstream_packets_spec spec, std::uint64_t seed, QObject* parent);

    /// Binds the socket and begins with an empty connection table, in cold start. Throws core::system_failure.
    void start();
    /// Closes the socket and discards the connection table.
    void stop();
    /// Stops reading; packets stay in the kernel's buffer until resume().
    void pause();
    void resume();
    /// Begins a cold start. Overload is counted from `grace` after now.
    void begin_cold_start(core::milliseconds grace);

    upstream_packets_counts counts() const;

private:
    struct connection {
        std::uint32_t cookie = 0;
    };

    void read();
    void handle(const flow_packet& it);
    void count_new_flow(core::time_point now);
    void answer(const flow_packet& it, packet_kind kind, std::uint32_t cookie);

    upstream_packets_spec spec_;
    std::mt19937_64 random_;
    std::unique_ptr<QUdpSocket> socket_;
    bool paused_ = false;
    std::map<flow_key, connection> connections_;
    cold_start cold_;
    core::time_point overload_counts_from_;
    /// New flows within the last second.
    std::deque<core::time_point> new_flows_;
    upstream_packets_counts counts_;
};

} // namespace ibisdyke::measure
