#include "ibisdyke/frontends/packets/ip_packet_format.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <tins/icmp.h>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>
#include <tins/udp.h>

using namespace ibisdyke;
using frontends::parse_status;
using routing::packet_kind;

namespace {

const frontends::ip_packet_format format({0x7f000001, 7000});

std::string bytes_of(Tins::IP ip)
{
    const auto bytes = ip.serialize();
    return {bytes.begin(), bytes.end()};
}

Tins::IP make_ip_header()
{
    return {"10.1.1.1", "10.9.9.9"};
}

std::string tcp_packet(unsigned flags, const std::string& payload)
{
    auto ip = make_ip_header() / Tins::TCP(443, 50'000);
    auto& tcp = ip.rfind_pdu<Tins::TCP>();
    tcp.flags(Tins::small_uint<12>(static_cast<std::uint16_t>(flags)));
    tcp.seq(1000);
    tcp.ack_seq(2000);
    tcp.mss(1460);
    tcp.timestamp(1, 2);
    if (!payload.empty())
        ip /= Tins::RawPDU(payload);
    return bytes_of(ip);
}

std::string udp_packet()
{
    return bytes_of(make_ip_header() / Tins::UDP(443, 50'000) / Tins::RawPDU("hello"));
}

Tins::IP parse(const std::string& packet)
{
    return {reinterpret_cast<const std::uint8_t*>(packet.data()), static_cast<std::uint32_t>(packet.size())};
}

} // namespace

TEST_CASE("a packet's flow is read from its bytes")
{
    const auto packet = tcp_packet(Tins::TCP::ACK, "data");
    const auto it = format.parse(packet);
    REQUIRE(it.status == parse_status::parsed);
    const routing::flow_key expected{0x0a090909, 0x0a010101, 50'000, 443, routing::ip_protocol::tcp};
    CHECK(it.info.flow == expected);
    CHECK(it.info.size_bytes == packet.size());
    const auto udp = format.parse(udp_packet());
    REQUIRE(udp.status == parse_status::parsed);
    CHECK(udp.info.flow.protocol == routing::ip_protocol::udp);
    CHECK(udp.info.flow.destination_port == 443);
    CHECK(udp.info.kind == packet_kind::datagram);
}

// If a segment within a connection were taken for a SYN, it would open a flow. If FIN and RST were missed, flows
// would never close.
TEST_CASE("the TCP flags determine the kind of a packet")
{
    CHECK(format.parse(tcp_packet(Tins::TCP::SYN, "")).info.kind == packet_kind::syn);
    CHECK(format.parse(tcp_packet(Tins::TCP::SYN | Tins::TCP::ACK, "")).info.kind == packet_kind::segment);
    CHECK(format.parse(tcp_packet(Tins::TCP::ACK | Tins::TCP::PSH, "x")).info.kind == packet_kind::segment);
    CHECK(format.parse(tcp_packet(Tins::TCP::FIN | Tins::TCP::ACK, "")).info.kind == packet_kind::closing);
    CHECK(format.parse(tcp_packet(Tins::TCP::RST, "")).info.kind == packet_kind::closing);
}

// Only the first fragment of a packet contains the ports, so later fragments could be sent to another upstream.
TEST_CASE("fragments and other protocols are distinguished from malformed packets")
{
    auto first = make_ip_header() / Tins::UDP(443, 50'000) / Tins::RawPDU("hello");
    first.flags(Tins::IP::MORE_FRAGMENTS);
    CHECK(format.parse(bytes_of(first)).status == parse_status::fragment);
    auto later = make_ip_header() / Tins::RawPDU("more of it");
    later.fragment_offset(100);
    CHECK(format.parse(bytes_of(later)).status == parse_status::fragment);
    CHECK(format.parse(bytes_of(make_ip_header() / Tins::ICMP())).status == parse_status::unsupported);
}

// A truncated or damaged packet must cause neither a read beyond its end nor an exception, which would end the packet
// thread.
TEST_CASE("truncated and damaged packets never cause an exception")
{
    const auto whole = tcp_packet(Tins::TCP::SYN, "");
    for (std::size_t n = 0; n < whole.size(); ++n)
        CHECK(format.parse(whole.substr(0, n)).status == parse_status::malformed);
    std::mt19937 random(1);
    for (int i = 0; i < 50'000; ++i) {
        auto changed = i % 2 == 0 ? whole : udp_packet();
        for (int n = 0; n < 4; ++n)
            changed[random() % changed.size()] = static_cast<char>(random());
        changed.resize(1 + random() % changed.size());
        CHECK_NOTHROW(format.parse(changed));
        CHECK_NOTHROW(format.make_reject(changed));
    }
}

// The caller's system ignores a reset whose sequence or acknowledgement number does not match the connection.
TEST_CASE("a reset carries the sequence numbers that the caller expects")
{
    const auto to_segment = parse(format.make_reject(tcp_packet(Tins::TCP::ACK, "data")).value());
    CHECK(to_segment.dst_addr() == Tins::IPv4Address("10.9.9.9"));
    CHECK(to_segment.src_addr() == Tins::IPv4Address("10.1.1.1"));
    const auto& reset = to_segment.rfind_pdu<Tins::TCP>();
    CHECK(reset.flags() == Tins::TCP::RST);
    CHECK(reset.seq() == 2000);
    CHECK(reset.sport() == 443);
    CHECK(reset.dport() == 50'000);
    const auto to_syn = parse(format.make_reject(tcp_packet(Tins::TCP::SYN, "")).value());
    const auto& reset_to_syn = to_syn.rfind_pdu<Tins::TCP>();
    CHECK(reset_to_syn.flags() == (Tins::TCP::RST | Tins::TCP::ACK));
    CHECK(reset_to_syn.ack_seq() == 1001);
    const auto to_fin = parse(format.make_reject(tcp_packet(Tins::TCP::FIN, "data")).value());
    CHECK(to_fin.rfind_pdu<Tins::TCP>().ack_seq() == 1005);
}

// If resets were answered with resets, two systems could answer each other endlessly.
TEST_CASE("a reset is not answered")
{
    CHECK_FALSE(format.make_reject(tcp_packet(Tins::TCP::RST, "")));
    CHECK_FALSE(format.make_reject(tcp_packet(Tins::TCP::RST | Tins::TCP::ACK, "")));
    CHECK_FALSE(format.make_reject("garbage"));
}

TEST_CASE("a UDP packet is rejected with a port unreachable message that quotes the packet")
{
    const auto packet = udp_packet();
    const auto answer = parse(format.make_reject(packet).value());
    CHECK(answer.dst_addr() == Tins::IPv4Address("10.9.9.9"));
    const auto& icmp = answer.rfind_pdu<Tins::ICMP>();
    CHECK(icmp.type() == Tins::ICMP::DEST_UNREACHABLE);
    CHECK(icmp.code() == 3);
    const auto& quoted = answer.rfind_pdu<Tins::RawPDU>().payload();
    CHECK(std::string(quoted.begin(), quoted.end()) == packet.substr(0, 28));
}

// The caller's system drops an answer with a wrong checksum. The test parses each answer with libtins and serialises it
// again, which recomputes the checksums.
TEST_CASE("the checksums of answers are correct")
{
    for (const auto& packet : {tcp_packet(Tins::TCP::ACK, "data"), tcp_packet(Tins::TCP::SYN, ""),
             tcp_packet(Tins::TCP::FIN, "odd"), udp_packet()}) {
        const auto answer = format.make_reject(packet).value();
        CHECK(bytes_of(parse(answer)) == answer);
    }
}
