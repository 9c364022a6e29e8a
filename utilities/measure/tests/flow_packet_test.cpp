#include "measure/flows/flow_packet.h"

#include <catch2/catch.hpp>

#include <tins/icmp.h>
#include <tins/ip.h>
#include <tins/rawpdu.h>

using namespace ibisdyke;
using namespace ibisdyke::measure;

namespace {

std::string to_bytes(const std::vector<std::uint8_t>& it)
{
    return {it.begin(), it.end()};
}

flow_packet sample(packet_kind kind, flow_protocol protocol)
{
    const flow_key key{core::endpoint::create("10.128.0.1:2000"), core::endpoint::create("10.0.0.1:443"), protocol};
    return {key, kind, 7, 4'000'000'000, "a-1"};
}

} // namespace

TEST_CASE("a packet is the same after encoding and decoding")
{
    const auto protocol = GENERATE(flow_protocol::tcp, flow_protocol::udp);
    const auto kind = GENERATE(packet_kind::open, packet_kind::open_answer, packet_kind::data, packet_kind::data_answer,
        packet_kind::close, packet_kind::close_answer);
    const auto it = sample(kind, protocol);
    CHECK(decode_flow_packet(to_bytes(encode(it))) == it);
}

// ICMP errors must be decoded. Otherwise the caller of a rejected UDP flow would wait for an answer until it gives up.
TEST_CASE("an ICMP error is a reset of the flow whose packet it answers")
{
    const auto it = sample(packet_kind::data, flow_protocol::udp);
    const auto original = encode(it);
    Tins::ICMP icmp(Tins::ICMP::DEST_UNREACHABLE);
    icmp.code(3);
    auto ip = Tins::IP("10.128.0.1", "10.0.0.1") / icmp
        / Tins::RawPDU(original.data(), static_cast<std::uint32_t>(original.size()));
    const auto decoded = decode_flow_packet(to_bytes(ip.serialize()));
    REQUIRE(decoded);
    CHECK(decoded->kind == packet_kind::reset);
    CHECK(decoded->key == it.key);
}

TEST_CASE("bytes that are not a packet are not decoded")
{
    CHECK_FALSE(decode_flow_packet("hello"));
    CHECK_FALSE(decode_flow_packet(""));
}
