#include "ibisdyke/frontends/packets/ip_packet_format.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <linux/tcp.h>
#include <linux/udp.h>
#include <netinet/ip.h>
#include <netinet/ip_icmp.h>

namespace ibisdyke::frontends {

namespace {

constexpr unsigned ip_version = 4;
constexpr std::size_t bytes_per_word = 4;
constexpr std::uint8_t answer_time_to_live = 64;

/// Copies a header from the start of a packet. The bytes need not be aligned. The packet must be at least as long as
/// the header.
template <typename Header>
Header read(std::string_view packet)
{
    Header result{};
    std::memcpy(&result, packet.data(), sizeof(Header));
    return result;
}

template <typename Header>
void append(std::string& packet, const Header& it)
{
    packet.append(reinterpret_cast<const char*>(&it), sizeof(Header));
}

std::size_t header_bytes(const iphdr& it)
{
    return it.ihl * bytes_per_word;
}

std::size_t header_bytes(const tcphdr& it)
{
    return it.doff * bytes_per_word;
}

/// Adds bytes to a sum of big-endian 16-bit words (RFC 1071). If their number is odd, the last byte is the upper half
/// of a word.
std::uint32_t add_words(std::uint32_t sum, std::string_view bytes)
{
    constexpr unsigned bits_per_byte = 8;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        const std::uint32_t byte = static_cast<unsigned char>(bytes[i]);
        sum += i % 2 == 0 ? byte << bits_per_byte : byte;
    }
    return sum;
}

/// Returns the Internet checksum for a sum of words, in network byte order.
std::uint16_t to_checksum(std::uint32_t sum)
{
    constexpr unsigned bits_per_word = 16;
    constexpr std::uint32_t word_mask = 0xffff;
    while (sum > word_mask)
        sum = (sum & word_mask) + (sum >> bits_per_word);
    return htons(static_cast<std::uint16_t>(~sum & word_mask));
}

/// Returns the IP header of an answer to the sender of a packet. `payload_bytes` is the size of what follows the
/// header.
iphdr make_answer_header(const iphdr& received, std::uint8_t protocol, std::size_t payload_bytes)
{
    iphdr result{};
    result.version = ip_version;
    result.ihl = sizeof(iphdr) / bytes_per_word;
    result.tot_len = htons(static_cast<std::uint16_t>(sizeof(iphdr) + payload_bytes));
    result.ttl = answer_time_to_live;
    result.protocol = protocol;
    result.saddr = received.daddr;
    result.daddr = received.saddr;
    std::string bytes;
    append(bytes, result);
    result.check = to_checksum(add_words(0, bytes));
    return result;
}

routing::packet_kind kind_of(const tcphdr& it)
{
    if (it.fin != 0 || it.rst != 0)
        return routing::packet_kind::closing;
    return it.syn != 0 && it.ack == 0 ? routing::packet_kind::syn : routing::packet_kind::segment;
}

parsed_packet parse_udp(parsed_packet result, std::string_view payload)
{
    if (payload.size() < sizeof(udphdr))
        return {};
    const auto udp = read<udphdr>(payload);
    result.info.flow.protocol = routing::ip_protocol::udp;
    result.info.flow.source_port = ntohs(udp.source);
    result.info.flow.destination_port = ntohs(udp.dest);
    result.info.kind = routing::packet_kind::datagram;
    result.status = parse_status::parsed;
    return result;
}

parsed_packet parse_tcp(parsed_packet result, std::string_view payload)
{
    if (payload.size() < sizeof(tcphdr))
        return {};
    const auto tcp = read<tcphdr>(payload);
    if (header_bytes(tcp) < sizeof(tcphdr) || header_bytes(tcp) > payload.size())
        return {};
    result.info.flow.protocol = routing::ip_protocol::tcp;
    result.info.flow.source_port = ntohs(tcp.source);
    result.info.flow.destination_port = ntohs(tcp.dest);
    result.info.kind = kind_of(tcp);
    result.info.sequence = ntohl(tcp.seq);
    result.status = parse_status::parsed;
    return result;
}

/// Returns the payload of the IP packet: the bytes after the header, up to the total length that the header states.
std::string_view payload_of(const iphdr& ip, std::string_view packet)
{
    return packet.substr(0, ntohs(ip.tot_len)).substr(header_bytes(ip));
}

/// Whether the bytes contain a complete IPv4 packet, of the total length that its header states.
bool is_whole(std::string_view packet)
{
    if (packet.size() < sizeof(iphdr))
        return false;
    const auto ip = read<iphdr>(packet);
    const std::size_t total = ntohs(ip.tot_len);
    return ip.version == ip_version && header_bytes(ip) >= sizeof(iphdr) && header_bytes(ip) <= total
        && total <= packet.size();
}

bool is_fragment(const iphdr& it)
{
    return (ntohs(it.frag_off) & (IP_MF | IP_OFFMASK)) != 0;
}

/// Returns the sum of the pseudo-header that TCP's checksum covers in addition to the segment (RFC 9293, section 3.1).
std::uint32_t pseudo_header_sum(const iphdr& ip, std::size_t segment_bytes)
{
    std::string bytes;
    append(bytes, ip.saddr);
    append(bytes, ip.daddr);
    return add_words(0, bytes) + IPPROTO_TCP + static_cast<std::uint32_t>(segment_bytes);
}

std::optional<std::string> make_reset(const iphdr& ip, std::string_view payload)
{
    const auto received = read<tcphdr>(payload);
    if (received.rst != 0)
        return std::nullopt;
    tcphdr reset{};
    reset.source = received.dest;
    reset.dest = received.source;
    reset.doff = sizeof(tcphdr) / bytes_per_word;
    reset.rst = 1;
    // RFC 9293, section 3.10.7.1: the reset must carry the sequence number that the caller expects.
    if (received.ack != 0) {
        reset.seq = received.ack_seq;
    } else {
        const auto data_bytes = static_cast<std::uint32_t>(payload.size() - header_bytes(received));
        const std::uint32_t length = data_bytes + received.syn + received.fin;
        reset.ack = 1;
        reset.ack_seq = htonl(ntohl(received.seq) + length);
    }
    const auto header = make_answer_header(ip, IPPROTO_TCP, sizeof(tcphdr));
    std::string segment;
    append(segment, reset);
    reset.check = to_checksum(add_words(pseudo_header_sum(header, segment.size()), segment));
    std::string result;
    append(result, header);
    append(result, reset);
    return result;
}

std::string make_port_unreachable(const iphdr& ip, std::string_view packet)
{
    // RFC 792: the message quotes the IP header and the first 8 bytes of the payload.
    const auto quoted = packet.substr(0, header_bytes(ip) + sizeof(udphdr));
    icmphdr icmp{};
    icmp.type = ICMP_DEST_UNREACH;
    icmp.code = ICMP_PORT_UNREACH;
    std::string message;
    append(message, icmp);
    message.append(quoted);
    icmp.checksum = to_checksum(add_words(0, message));
    std::string result;
    append(result, make_answer_header(ip, IPPROTO_ICMP, message.size()));
    append(result, icmp);
    return result.append(quoted);
}

} // namespace

parsed_packet ip_packet_format::parse(std::string_view packet) const
{
    if (!is_whole(packet))
        return {};
    const auto ip = read<iphdr>(packet);
    if (is_fragment(ip))
        return {parse_status::fragment, {}};
    parsed_packet result;
    result.info.size_bytes = static_cast<std::uint32_t>(packet.size());
    result.info.flow.source_address = ntohl(ip.saddr);
    result.info.flow.destination_address = ntohl(ip.daddr);
    switch (ip.protocol) {
    case IPPROTO_UDP:
        return parse_udp(std::move(result), payload_of(ip, packet));
    case IPPROTO_TCP:
        return parse_tcp(std::move(result), payload_of(ip, packet));
    default:
        return {parse_status::unsupported, {}};
    }
}

std::optional<std::string> ip_packet_format::make_reject(std::string_view packet) const
{
    const auto parsed = parse(packet);
    if (parsed.status != parse_status::parsed)
        return std::nullopt;
    const auto ip = read<iphdr>(packet);
    if (parsed.info.flow.protocol == routing::ip_protocol::tcp)
        return make_reset(ip, payload_of(ip, packet));
    return make_port_unreachable(ip, packet);
}

core::endpoint ip_packet_format::caller_endpoint(std::string_view /*packet*/) const
{
    return caller_return_;
}

} // namespace ibisdyke::frontends
