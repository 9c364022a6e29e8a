#include "ibisdyke/core/error.h"
#include "ibisdyke/routing/wire/codec.h"
#include "ibisdyke/routing/wire/encoded_chains.h"
#include "ibisdyke/testing/simulated_hosts.h"

#include <catch2/catch.hpp>
#include <random>

using namespace ibisdyke;
using namespace routing;

namespace {

packet_header make_full_header()
{
    packet_header it;
    it.table = {3, 1'000'000};
    it.service = core::service_id(1234);
    for (std::uint64_t i = 0; i < max_header_members; ++i)
        it.chain.push_back({core::upstream_id(~i), {0xffffffff, 65535}});
    it.candidates = 3;
    it.position = 23;
    it.phase = search_phase::assign;
    it.sender = {0x0a000001, 7000};
    it.restarted = 0;
    it.recovery_left_ms = 59'000;
    it.fallback = 2;
    it.fallback_load = {true, 2500, 10'000};
    it.is_new = true;
    it.hops = 63;
    it.asked = 0xffffff;
    it.search_offset = 0xffffffff;
    for (std::uint64_t i = 0; i < max_offered_services; ++i)
        it.offered.emplace_back(~i);
    it.queueing_candidate = target_fallback{
        core::service_id(~0ULL), {core::upstream_id(~0ULL), {0xffffffff, 65535}}, {true, 0xffffffff, 0xffffffff}};
    it.awaits_retransmission = true;
    it.unanswering = core::upstream_id(~0ULL);
    it.searched = {core::service_id(7), core::service_id(1200)};
    it.searched_through = core::service_id(600);
    return it;
}

} // namespace

TEST_CASE("a packet header survives a round trip")
{
    const auto it = make_full_header();
    CHECK(wire::decode_packet_header(wire::encode(it)) == it);
    CHECK(wire::decode_packet_header(wire::encode(packet_header{})) == packet_header{});
    CHECK(wire::encode_prefix(it).size() <= wire::max_prefix_bytes);
    const version_notice notice{{2, 9}, core::make_upstream_id(3, 0), true};
    CHECK(wire::decode_version_notice(wire::encode(notice)) == notice);
}

// An agent would read beyond the chain of a header that names a member behind its end.
TEST_CASE("a packet header that refers to a member beyond its chain is malformed")
{
    const auto header = make_full_header();
    const auto beyond = static_cast<std::uint32_t>(max_header_members);
    auto it = header;
    it.candidates = beyond + 1;
    CHECK_THROWS_AS(wire::decode_packet_header(wire::encode(it)), core::malformed_message);
    it = header;
    it.restarted = beyond;
    CHECK_THROWS_AS(wire::decode_packet_header(wire::encode(it)), core::malformed_message);
    it = header;
    it.fallback = beyond;
    CHECK_THROWS_AS(wire::decode_packet_header(wire::encode(it)), core::malformed_message);
}

// A balancer's header would decode differently from an agent's if its separately encoded parts did not fit together.
TEST_CASE("the encoded parts of a header decode to the whole")
{
    testing::simulated_hosts hosts(5);
    const auto table = hosts.make_table();
    const auto encoded = wire::encoded_chains::create(*table, nullptr, nullptr);
    const core::endpoint sender{0x0a000001, 7000};
    for (const auto phase : {search_phase::find, search_phase::place}) {
        for (std::uint32_t bucket = 0; bucket < buckets_per_service; bucket += 100) {
            const auto index = table->services()[0]->chain_index(bucket);
            const auto bytes = wire::encode_origin(table->at(), sender) + std::string(encoded->find(0, index))
                + wire::encode_phase(phase) + wire::encode_asked(2);
            packet_header expected;
            expected.table = table->at();
            expected.service = testing::simulated_hosts::service;
            expected.sender = sender;
            expected.phase = phase;
            expected.asked = 2;
            const auto& chain = table->services()[0]->chain_of(bucket);
            expected.candidates = static_cast<std::uint32_t>(chain.candidates);
            for (const auto& it : chain.members)
                expected.chain.push_back({it.id, it.packet_endpoint});
            CHECK(wire::decode_packet_header(bytes) == expected);
        }
    }
}

// Packets would follow outdated chains if the encoding of an older table were reused for a service that has changed.
TEST_CASE("encoded chains of changed services are encoded again")
{
    testing::simulated_hosts hosts(5);
    const auto before = hosts.make_table();
    const auto encoded_before = wire::encoded_chains::create(*before, nullptr, nullptr);
    hosts.add_host();
    const auto after = hosts.make_table();
    const auto shared = wire::encoded_chains::create(*after, encoded_before, before);
    const auto fresh = wire::encoded_chains::create(*after, nullptr, nullptr);
    for (std::uint32_t bucket = 0; bucket < buckets_per_service; ++bucket) {
        const auto index = after->services()[0]->chain_index(bucket);
        CHECK(shared->find(0, index) == fresh->find(0, index));
    }
}

// A malformed datagram must neither end the process nor make it read past the end of the datagram.
TEST_CASE("malformed datagrams are rejected")
{
    for (const auto& it : {std::string(), std::string(1, '\x45'), std::string("\x01", 1) + std::string(100, 'x')})
        CHECK_THROWS_AS(wire::split_datagram(it), core::malformed_message);
    auto oversized = make_full_header();
    oversized.chain.resize(max_header_members + 1);
    CHECK_THROWS_AS(wire::decode_packet_header(wire::encode(oversized)), core::malformed_message);
    auto offered_too_often = make_full_header();
    offered_too_often.offered.resize(max_offered_services + 1);
    CHECK_THROWS_AS(wire::decode_packet_header(wire::encode(offered_too_often)), core::malformed_message);
    std::mt19937 random(1);
    auto bytes = wire::encode_prefix(make_full_header()) + std::string(40, 'E');
    for (int i = 0; i < 20'000; ++i) {
        auto changed = bytes;
        for (int n = 0; n < 3; ++n)
            changed[random() % changed.size()] = static_cast<char>(random());
        changed.resize(random() % (changed.size() + 1));
        try {
            const auto parts = wire::split_datagram(changed);
            wire::decode_packet_header(parts.message);
        } catch (const core::malformed_message&) {
            continue;
        }
    }
    SUCCEED();
}

// A header must not be mistaken for an IP packet, or an IP packet for a header.
TEST_CASE("split_datagram() distinguishes plain packets, headers, probes and notices")
{
    CHECK(wire::split_datagram("E" + std::string(39, '\0')).kind == wire::datagram_kind::plain_packet);
    CHECK(wire::split_datagram(wire::encode_notice_datagram({{1, 1}, {}})).kind == wire::datagram_kind::notice);
    CHECK(wire::split_datagram(wire::encode_probe_datagram({1, 1}, {1, 2})).kind == wire::datagram_kind::probe);
    const auto datagram = wire::encode_prefix(make_full_header()) + "packet";
    const auto parts = wire::split_datagram(datagram);
    CHECK(parts.kind == wire::datagram_kind::packet);
    CHECK(parts.packet == "packet");
}
