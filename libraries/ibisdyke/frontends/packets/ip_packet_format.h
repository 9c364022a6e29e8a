#pragma once

#include "ibisdyke/frontends/packets/packet_format.h"

namespace ibisdyke::frontends {

/// The format of plain IPv4 packets, each in a UDP datagram. Upstreams answer callers directly, bypassing their agents,
/// and return no packets.
class ip_packet_format final : public packet_format {
public:
    /// `caller_return` is the endpoint that takes all packets to callers, each in a UDP datagram.
    explicit ip_packet_format(const core::endpoint& caller_return)
        : caller_return_(caller_return)
    {
    }

    parsed_packet parse(std::string_view packet) const override;

    /// Returns a TCP RST, or an ICMP "port unreachable" for UDP.
    std::optional<std::string> make_reject(std::string_view packet) const override;

    core::endpoint caller_endpoint(std::string_view packet) const override;

private:
    core::endpoint caller_return_;
};

} // namespace ibisdyke::frontends
