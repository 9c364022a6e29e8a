#pragma once

#include "ibisdyke/core/endpoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibisdyke::measure {

enum class flow_protocol : std::uint8_t {
    tcp,
    udp,
};

/// Kind of a packet. Answers and resets go from the upstream to the caller, the other kinds from the caller to the
/// upstream.
enum class packet_kind : std::uint8_t {
    open,
    open_answer,
    data,
    data_answer,
    close,
    close_answer,
    /// TCP RST, ICMP port unreachable, or a UDP payload that stands for them.
    reset,
};

/// Identity of a flow.
struct flow_key {
    core::endpoint caller;
    core::endpoint service;
    flow_protocol protocol = flow_protocol::tcp;

    friend bool operator==(const flow_key&, const flow_key&) = default;
    friend auto operator<=>(const flow_key&, const flow_key&) = default;
};

/// A decoded IP packet of a flow.
struct flow_packet {
    flow_key key;
    packet_kind kind = packet_kind::data;
    /// Number of the data packet within the flow; its answer has the same number.
    std::uint32_t sequence = 0;
    /// Random number that the upstream chooses when it accepts the flow and that the caller repeats, like a TCP initial
    /// sequence number. Another upstream does not know the number and resets the flow.
    std::uint32_t cookie = 0;
    /// In a caller's packet the name of the service, in an answer the name of the upstream.
    std::string name;

    friend bool operator==(const flow_packet&, const flow_packet&) = default;
};

/// Returns the IP packet.
std::vector<std::uint8_t> encode(const flow_packet& it);

/// Returns nothing when the bytes are not a packet of a flow.
std::optional<flow_packet> decode_flow_packet(std::string_view bytes);

} // namespace ibisdyke::measure
