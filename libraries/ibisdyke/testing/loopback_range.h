#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/error.h"

#include <QHostAddress>
#include <QTcpServer>

#include <cstdint>

namespace ibisdyke::testing {

/// Reserves a range of loopback addresses that no other test on this machine uses during the lifetime of the object.
/// The tests use fixed ports below the ephemeral range on them. Unlike a free port that was looked up in advance, such
/// a port cannot be taken by an outgoing connection.
class loopback_range {
public:
    /// Throws core::system_failure when other tests have reserved all ranges.
    loopback_range()
    {
        constexpr std::uint32_t last_range = 250;
        while (!reservation_.listen(QHostAddress(address(0)), reservation_port)) {
            if (++range_ > last_range)
                throw core::system_failure("all loopback address ranges are in use by other tests");
        }
    }

    /// Returns the endpoint of a host, numbered from 1 to 250.
    core::endpoint endpoint(std::uint32_t host, std::uint16_t port) const { return {address(host), port}; }

private:
    static constexpr std::uint16_t reservation_port = 6999;

    std::uint32_t address(std::uint32_t host) const
    {
        // 127.222, because utilities/measure uses 127.20 to 127.220.
        constexpr std::uint32_t network = (127U << 24U) | (222U << 16U);
        return network | (range_ << 8U) | (host + 1);
    }

    /// The third octet of the addresses.
    std::uint32_t range_ = 0;
    QTcpServer reservation_;
};

} // namespace ibisdyke::testing
