#include "measure/flows/flow_packet.h"

#include <tins/icmp.h>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>
#include <tins/udp.h>

#include <array>
#include <sstream>
#include <utility>

namespace ibisdyke::measure {

namespace {

constexpr std::array kind_letters{
    std::pair{packet_kind::open, 'o'},
    std::pair{packet_kind::open_answer, 'O'},
    std::pair{packet_kind::data, 'd'},
    std::pair{packet_kind::data_answer, 'D'},
    std::pair{packet_kind::close, 'c'},
    std::pair{packet_kind::close_answer, 'C'},
    std::pair{packet_kind::reset, 'r'},
};

bool is_from_upstream(packet_kind it)
{
    return it == packet_kind::open_answer || it == packet_kind::data_answer || it == packet_kind::close_answer
        || it == packet_kind::reset;
}

char to_letter(packet_kind kind)
{
    for (const auto& [it, letter] : kind_letters) {
        if (it == kind)
            return letter;
    }
    return 'r';
}

std::optional<packet_kind> from_letter(char letter)
{
    for (const auto& [it, known] : kind_letters) {
        if (known == letter)
            return it;
    }
    return std::nullopt;
}

std::string payload(const flow_packet& it)
{
    return std::string(1, to_letter(it.kind)) + " " + std::to_string(it.sequence) + " " + std::to_string(it.cookie)
        + " " + it.name;
}

bool read_payload(const Tins::PDU& transport, flow_packet& it)
{
    const auto* const raw = transport.find_pdu<Tins::RawPDU>();
    if (raw == nullptr)
        return false;
    std::istringstream fields(std::string(raw->payload().begin(), raw->payload().end()));
    char letter = 0;
    if (!(fields >> letter >> it.sequence >> it.cookie >> it.name))
        return false;
    const auto kind = from_letter(letter);
    if (!kind)
        return false;
    it.kind = *kind;
    return true;
}

// libtins stores addresses in network byte order, so they are converted through their text form.
Tins::IPv4Address to_tins(std::uint32_t address)
{
    return {core::address_to_string(address)};
}

std::uint32_t from_tins(const Tins::IPv4Address& address)
{
    return core::endpoint::create(address.to_string() + ":0").address;
}

std::uint32_t tcp_flags(packet_kind it)
{
    switch (it) {
    case packet_kind::open:
        return Tins::TCP::SYN;
    case packet_kind::open_answer:
        return Tins::TCP::SYN | Tins::TCP::ACK;
    case packet_kind::close:
    case packet_kind::close_answer:
        return Tins::TCP::FIN | Tins::TCP::ACK;
    case packet_kind::reset:
        return Tins::TCP::RST;
    case packet_kind::data:
    case packet_kind::data_answer:
        break;
    }
    return Tins::TCP::PSH | Tins::TCP::ACK;
}

/// Sets the caller and the service. Which of them is the source depends on the packet's direction.
void set_endpoints(flow_packet& it, const core::endpoint& source, const core::endpoint& destination)
{
    const bool from_upstream = is_from_upstream(it.kind);
    it.key.caller = from_upstream ? destination : source;
    it.key.service = from_upstream ? source : destination;
}

/// Reads an ICMP error. Its payload is the beginning of the packet that caused the error.
std::optional<flow_packet> read_icmp(const Tins::ICMP& icmp)
{
    constexpr std::size_t min_inner_bytes = 28;
    constexpr std::size_t protocol_at = 9;
    constexpr std::size_t source_at = 12;
    constexpr std::size_t destination_at = 16;
    constexpr std::uint8_t tcp_number = 6;
    const auto* const raw = icmp.find_pdu<Tins::RawPDU>();
    if (icmp.type() != Tins::ICMP::DEST_UNREACHABLE || raw == nullptr || raw->payload().size() < min_inner_bytes)
        return std::nullopt;
    const auto& bytes = raw->payload();
    const auto number = [&](std::size_t at, std::size_t n) {
        std::uint32_t value = 0;
        for (std::size_t i = 0; i < n; ++i)
            value = (value << 8U) | bytes.at(at + i);
        return value;
    };
    const std::size_t header = (bytes[0] & 0xFU) * std::size_t{4};
    if (bytes.size() < header + 4)
        return std::nullopt;
    flow_packet it;
    it.kind = packet_kind::reset;
    it.key.protocol = bytes[protocol_at] == tcp_number ? flow_protocol::tcp : flow_protocol::udp;
    it.key.caller = {number(source_at, 4), static_cast<std::uint16_t>(number(header, 2))};
    it.key.service = {number(destination_at, 4), static_cast<std::uint16_t>(number(header + 2, 2))};
    return it;
}

} // namespace

std::vector<std::uint8_t> encode(const flow_packet& it)
{
    const bool from_upstream = is_from_upstream(it.kind);
    const auto& source = from_upstream ? it.key.service : it.key.caller;
    const auto& destination = from_upstream ? it.key.caller : it.key.service;
    Tins::IP ip(to_tins(destination.address), to_tins(source.address));
    if (it.key.protocol == flow_protocol::udp) {
        ip /= Tins::UDP(destination.port, source.port);
    } else {
        Tins::TCP tcp(destination.port, source.port);
        tcp.flags(static_cast<Tins::small_uint<12>>(static_cast<std::uint16_t>(tcp_flags(it.kind))));
        tcp.seq(from_upstream ? it.cookie : it.sequence);
        tcp.ack_seq(from_upstream ? it.sequence : it.cookie + 1);
        ip /= tcp;
    }
    ip /= Tins::RawPDU(payload(it));
    return ip.serialize();
}

std::optional<flow_packet> decode_flow_packet(std::string_view bytes)
{
    try {
        const Tins::IP ip(
            reinterpret_cast<const std::uint8_t*>(bytes.data()), static_cast<std::uint32_t>(bytes.size()));
        if (const auto* const icmp = ip.find_pdu<Tins::ICMP>())
            return read_icmp(*icmp);
        flow_packet it;
        core::endpoint source{from_tins(ip.src_addr()), 0};
        core::endpoint destination{from_tins(ip.dst_addr()), 0};
        if (const auto* const tcp = ip.find_pdu<Tins::TCP>()) {
            source.port = tcp->sport();
            destination.port = tcp->dport();
            // Agents reject flows with a bare RST.
            if (tcp->get_flag(Tins::TCP::RST) != 0)
                it.kind = packet_kind::reset;
            else if (!read_payload(*tcp, it))
                return std::nullopt;
        } else if (const auto* const udp = ip.find_pdu<Tins::UDP>()) {
            source.port = udp->sport();
            destination.port = udp->dport();
            it.key.protocol = flow_protocol::udp;
            if (!read_payload(*udp, it))
                return std::nullopt;
        } else {
            return std::nullopt;
        }
        set_endpoints(it, source, destination);
        return it;
    } catch (const Tins::exception_base&) {
        return std::nullopt;
    }
}

} // namespace ibisdyke::measure
