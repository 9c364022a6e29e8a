#include "ibisdyke/frontends/ip_packet_format.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <exception>
#include <tins/icmp.h>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>
#include <tins/udp.h>

namespace ibisdyke::frontends {

namespace {

constexpr unsigned high_nibble = 4;
constexpr unsigned ipv4 = 4;
constexpr unsigned low_nibble_mask = 0x0f;
constexpr std::size_t bytes_per_word = 4;
constexpr std::size_t min_ip_header_bytes = 20;
constexpr std::size_t min_tcp_header_bytes = 20;
constexpr std::size_t udp_header_bytes = 8;
constexpr std::size_t tcp_data_offset_byte = 12;

const std::uint8_t* to_bytes(std::string_view it)
{
    return reinterpret_cast<const std::uint8_t*>(it.data());
}

/// Returns the length of the IP header as the packet states it, or 0 when the packet is no IPv4 packet.
std::size_t ip_header_bytes(std::string_view packet)
{
    if (packet.size() < min_ip_header_bytes)
        return 0;
    const auto first = static_cast<unsigned char>(packet[0]);
    return first >> high_nibble == ipv4 ? (first & low_nibble_mask) * bytes_per_word : 0;
}

/// Returns the length of the TCP header as the segment states it.
std::size_t tcp_header_bytes(std::string_view segment)
{
    return (static_cast<unsigned char>(segment[tcp_data_offset_byte]) >> high_nibble) * bytes_per_word;
}

routing::packet_kind kind_of(const Tins::TCP& it)
{
    if ((it.flags() & (Tins::TCP::FIN | Tins::TCP::RST)) != 0)
        return routing::packet_kind::closing;
    const auto opening = it.flags() & (Tins::TCP::SYN | Tins::TCP::ACK);
    return opening == Tins::TCP::SYN ? routing::packet_kind::syn : routing::packet_kind::segment;
}

std::uint32_t host_order(const Tins::IPv4Address& it)
{
    return Tins::Endian::be_to_host(static_cast<std::uint32_t>(it));
}

/// The parts of a packet. libtins gets each header by itself: it would copy the payload. Throws an exception of libtins
/// for a malformed packet.
class packet_view {
public:
    packet_view(std::string_view packet, std::size_t header_bytes)
        : ip(to_bytes(packet), static_cast<std::uint32_t>(header_bytes))
        , payload(packet.substr(header_bytes, std::max<std::size_t>(ip.tot_len(), header_bytes) - header_bytes))
    {
    }

    Tins::IP ip;
    std::string_view payload;
};

/// Returns the TCP header of a payload that holds one. Its options are left out: nothing here needs them, and libtins
/// allocates memory for each, which doubled the time to parse a packet.
Tins::TCP tcp_header(std::string_view payload)
{
    constexpr std::uint8_t words_without_options = min_tcp_header_bytes / bytes_per_word;
    std::array<std::uint8_t, min_tcp_header_bytes> bytes{};
    std::copy_n(to_bytes(payload), bytes.size(), bytes.begin());
    auto& offset = bytes[tcp_data_offset_byte];
    offset = static_cast<std::uint8_t>((words_without_options << high_nibble) | (offset & low_nibble_mask));
    return {bytes.data(), bytes.size()};
}

parsed_packet parse_transport(const packet_view& it, std::size_t packet_bytes)
{
    parsed_packet result;
    auto& facts = result.facts;
    facts.size_bytes = static_cast<std::uint32_t>(packet_bytes);
    facts.flow.source_address = host_order(it.ip.src_addr());
    facts.flow.destination_address = host_order(it.ip.dst_addr());
    if (it.ip.protocol() == static_cast<std::uint8_t>(routing::ip_protocol::udp)) {
        if (it.payload.size() < udp_header_bytes)
            return {};
        const Tins::UDP udp(to_bytes(it.payload), udp_header_bytes);
        facts.flow.protocol = routing::ip_protocol::udp;
        facts.flow.source_port = udp.sport();
        facts.flow.destination_port = udp.dport();
        facts.kind = routing::packet_kind::datagram;
        result.status = parse_status::parsed;
        return result;
    }
    if (it.ip.protocol() != static_cast<std::uint8_t>(routing::ip_protocol::tcp)) {
        result = {};
        result.status = parse_status::unsupported;
        return result;
    }
    if (it.payload.size() < min_tcp_header_bytes || tcp_header_bytes(it.payload) < min_tcp_header_bytes
        || it.payload.size() < tcp_header_bytes(it.payload))
        return {};
    const auto tcp = tcp_header(it.payload);
    facts.flow.protocol = routing::ip_protocol::tcp;
    facts.flow.source_port = tcp.sport();
    facts.flow.destination_port = tcp.dport();
    facts.kind = kind_of(tcp);
    facts.sequence = tcp.seq();
    result.status = parse_status::parsed;
    return result;
}

std::optional<Tins::TCP> make_reset(const packet_view& it)
{
    const auto from = tcp_header(it.payload);
    if ((from.flags() & Tins::TCP::RST) != 0)
        return std::nullopt;
    Tins::TCP result(from.sport(), from.dport());
    result.window(0);
    // RFC 9293, section 3.10.7.1: the reset must carry the sequence number that the caller expects.
    if ((from.flags() & Tins::TCP::ACK) != 0) {
        result.flags(Tins::TCP::RST);
        result.seq(from.ack_seq());
        return result;
    }
    auto length = static_cast<std::uint32_t>(it.payload.size() - tcp_header_bytes(it.payload));
    length += (from.flags() & Tins::TCP::SYN) != 0 ? 1U : 0U;
    length += (from.flags() & Tins::TCP::FIN) != 0 ? 1U : 0U;
    result.flags(Tins::TCP::RST | Tins::TCP::ACK);
    result.seq(0);
    result.ack_seq(from.seq() + length);
    return result;
}

std::string to_string(const Tins::PDU::serialization_type& it)
{
    return {it.begin(), it.end()};
}

} // namespace

parsed_packet ip_packet_format::parse(std::string_view packet) const
{
    const auto header_bytes = ip_header_bytes(packet);
    if (header_bytes < min_ip_header_bytes || header_bytes > packet.size())
        return {};
    try {
        const packet_view it(packet, header_bytes);
        if (it.ip.tot_len() > packet.size())
            return {};
        if (it.ip.is_fragmented())
            return {parse_status::fragment, {}};
        return parse_transport(it, packet.size());
    } catch (const std::exception&) {
        // libtins throws for options that do not fit in their header.
        return {};
    }
}

std::optional<std::string> ip_packet_format::make_reject(std::string_view packet) const
{
    const auto parsed = parse(packet);
    if (parsed.status != parse_status::parsed)
        return std::nullopt;
    const auto header_bytes = ip_header_bytes(packet);
    const packet_view it(packet, header_bytes);
    Tins::IP answer(it.ip.src_addr(), it.ip.dst_addr());
    if (parsed.facts.flow.protocol == routing::ip_protocol::tcp) {
        const auto reset = make_reset(it);
        if (!reset)
            return std::nullopt;
        auto whole = answer / *reset;
        return to_string(whole.serialize());
    }
    constexpr std::uint8_t port_unreachable = 3;
    Tins::ICMP icmp(Tins::ICMP::DEST_UNREACHABLE);
    icmp.code(port_unreachable);
    // RFC 792: the IP header and the first 8 bytes of the payload.
    const auto quoted = packet.substr(0, header_bytes + udp_header_bytes);
    auto whole = answer / icmp / Tins::RawPDU(to_bytes(quoted), static_cast<std::uint32_t>(quoted.size()));
    return to_string(whole.serialize());
}

core::endpoint ip_packet_format::caller_endpoint(std::string_view /*packet*/) const
{
    return caller_return_;
}

} // namespace ibisdyke::frontends
