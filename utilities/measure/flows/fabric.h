#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/snapshot_publisher.h"
#include "measure/flows/flow_packet.h"

#include <QObject>
#include <QUdpSocket>

#include <functional>
#include <random>
#include <vector>

namespace ibisdyke::measure {

/// Packet endpoints of the healthy balancers.
using balancer_endpoints = std::vector<core::endpoint>;

/// Simulates the platform's fabric: sends each packet of a caller to a healthy balancer chosen at random, and receives
/// the packets to callers.
class fabric : public QObject {
public:
    using packet_callback = std::function<void(const flow_packet&)>;

    /// `balancers` must outlive the fabric. Throws core::system_failure when `address` cannot be bound.
    fabric(const core::endpoint& address, const core::snapshot_publisher<balancer_endpoints>& balancers,
        std::uint64_t seed, QObject* parent);

    /// Sends a packet of a caller. Drops the packet when no balancer is healthy.
    void send(const flow_packet& it);

    void on_packet(packet_callback callback) { callback_ = std::move(callback); }

private:
    void read();

    const core::snapshot_publisher<balancer_endpoints>& balancers_;
    std::mt19937_64 random_;
    QUdpSocket socket_;
    packet_callback callback_;
};

} // namespace ibisdyke::measure
