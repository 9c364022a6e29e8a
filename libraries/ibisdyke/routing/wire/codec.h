#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/ids.h"
#include "ibisdyke/core/version.h"
#include "ibisdyke/routing/chain.h"
#include "ibisdyke/routing/messages.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace ibisdyke::routing::wire {

/// Maximum size of the length and header that precede an IP packet in a datagram.
constexpr std::size_t max_prefix_bytes = 1024;

/// Size of the length field at the start of each datagram.
constexpr std::size_t length_bytes = 2;

std::string encode(const packet_header& it);
std::string encode(const version_notice& it);

/// These throw core::malformed_message.
packet_header decode_packet_header(std::string_view bytes);
version_notice decode_version_notice(std::string_view bytes);

/// These encode parts of a header separately, so that parts can be reused. The concatenation of encode_origin(),
/// encode_chain(), encode_phase() unless the phase is `find`, and encode_asked() unless `asked` is 0 decodes to the
/// header with position 0.
std::string encode_origin(const core::version& table, const core::endpoint& sender);
std::string encode_chain(const core::service_id& service, const chain& members);
std::string encode_phase(search_phase phase);
std::string encode_asked(std::uint32_t asked);

/// Returns the two-byte length field at the start of a datagram.
std::string encode_length(std::size_t header_bytes);

/// Returns the length and header that precede the IP packet in a datagram.
std::string encode_prefix(const packet_header& it);

/// These return a complete datagram. An agent responds to a probe with a notice to the probe's sender.
std::string encode_notice_datagram(const version_notice& it);
std::string encode_probe_datagram(const core::version& table, const core::endpoint& sender);

enum class datagram_kind : std::uint8_t {
    /// An IP packet without a header, from the fabric.
    plain_packet,
    /// A header and an IP packet.
    packet,
    /// A header without an IP packet.
    probe,
    notice,
};

/// Views of the parts of a datagram. They refer to the datagram's bytes.
struct datagram_parts {
    datagram_kind kind = datagram_kind::plain_packet;
    /// The encoded header or notice.
    std::string_view message;
    /// The IP packet.
    std::string_view packet;
};

/// Throws core::malformed_message.
datagram_parts split_datagram(std::string_view datagram);

} // namespace ibisdyke::routing::wire
