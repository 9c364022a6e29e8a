#pragma once

#include "ibisdyke/core/endpoint.h"
#include "measure/deployment/instance.h"

#include <QTcpServer>

#include <memory>

namespace ibisdyke::measure {

/// Ports of an instance by what listens on them; the value is the port number.
enum class port_kind : std::uint16_t {
    packets = 7001,
    requests = 7002,
    peer = 7003,
    admin = 7004,
    upstream_packets = 7101,
    upstream_requests = 7102,
    caller_packets = 7201,
};

/// Loopback addresses of one run. Each instance has two addresses: the one it listens on and sends from, and the one it
/// advertises, on which the proxy listens. The proxy identifies the sender of traffic by its source address, and the
/// receiver by the advertised address to which the traffic was sent.
class address_plan {
public:
    /// Claims a range of addresses that no other run on this machine uses. Throws core::system_failure when all ranges
    /// are in use.
    static std::unique_ptr<address_plan> claim();

    /// The endpoint on which the instance listens. Its address is also the instance's source address.
    core::endpoint real(const instance& it, port_kind port) const;
    /// The endpoint on which the proxy listens for traffic to the instance.
    core::endpoint advertised(const instance& it, port_kind port) const;
    /// The endpoint on which the fake upstream of an agent listens.
    core::endpoint upstream(const instance& agent, port_kind port) const;
    /// The endpoint on which callers receive packets.
    core::endpoint callers() const;
    /// The endpoint on which the proxy receives packets from upstreams and agents to callers.
    core::endpoint advertised_callers() const;
    /// The public address of a service. It occurs inside encapsulated packets only; nothing listens on it.
    static core::endpoint service_address(std::size_t service);

private:
    address_plan() = default;

    std::uint32_t range_ = 0;
    /// Listens on a port of the range, so that another run cannot claim the same range.
    QTcpServer claim_;
};

} // namespace ibisdyke::measure
