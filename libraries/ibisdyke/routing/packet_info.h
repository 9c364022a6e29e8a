#pragma once

#include "ibisdyke/routing/flow_key.h"

#include <cstddef>
#include <cstdint>

namespace ibisdyke::routing {

/// What a packet does to its flow.
enum class packet_kind : std::uint8_t {
    /// A UDP datagram: may begin a flow or belong to one.
    datagram,
    /// A TCP SYN without ACK.
    syn,
    /// A TCP segment within a connection.
    segment,
    /// A TCP FIN or RST.
    closing,
};

/// What routing decisions need to know of an IP packet.
struct packet_info {
    flow_key flow;
    packet_kind kind = packet_kind::datagram;
    /// Size of the packet.
    std::uint32_t size_bytes = 0;
    /// The packet's sequence number, where its format has one.
    std::uint32_t sequence = 0;
    /// The packet is known to be the first of its flow, so that no member can know the flow yet.
    bool is_first = false;
    /// How often the caller has sent a SYN before, where its format tells: the caller has waited as long.
    std::uint32_t copies = 0;
    /// The packet carries data, not only an acknowledgement.
    bool has_data = false;
    /// The packet ends its flow without more ado (TCP RST).
    bool is_reset = false;

    friend bool operator==(const packet_info&, const packet_info&) = default;
};

/// Whether the packet may begin a flow.
constexpr bool may_start_flow(packet_kind it)
{
    return it == packet_kind::syn || it == packet_kind::datagram;
}

} // namespace ibisdyke::routing
