#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/routing/flow_key.h"

#include <cstddef>
#include <cstdint>

namespace ibisdyke::routing {

/// The role of a packet in its flow.
enum class packet_kind : std::uint8_t {
    /// A UDP datagram, which may begin a flow or belong to an open flow.
    datagram,
    /// A TCP SYN without ACK.
    syn,
    /// A TCP segment within a connection.
    segment,
    /// A TCP FIN or RST.
    closing,
};

/// The properties of an IP packet that routing decisions use.
struct packet_info {
    flow_key flow;
    packet_kind kind = packet_kind::datagram;
    std::uint32_t size_bytes = 0;
    /// The packet's sequence number, if its format has one.
    std::uint32_t sequence = 0;
    /// Whether the packet is certainly the first of its flow, so that no member can know the flow yet.
    bool is_first = false;
    /// How often the caller has retransmitted the SYN, if the format shows it. Tells how long the caller has waited.
    std::uint32_t syn_retransmissions = 0;
    /// How long the caller waits for an answer to this SYN before it retransmits it or gives up; 0 if it is unknown.
    core::milliseconds answer_wait{0};
    /// Whether two upstreams may accept the flow of this SYN. The flow then opens at one of them, and the other returns
    /// the packets of the flow.
    bool may_be_placed_twice = false;
    /// Whether the packet carries data, not only an acknowledgement.
    bool has_data = false;
    /// Whether the packet aborts its flow (TCP RST).
    bool is_reset = false;

    friend bool operator==(const packet_info&, const packet_info&) = default;
};

constexpr bool may_start_flow(packet_kind it)
{
    return it == packet_kind::syn || it == packet_kind::datagram;
}

} // namespace ibisdyke::routing
