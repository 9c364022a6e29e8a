#include "ibisdyke/routing/flow_table.h"
#include "ibisdyke/testing/simulated_hosts.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace std::chrono_literals;
using routing::packet_kind;

namespace {

routing::packet_info packet(std::uint32_t caller, packet_kind kind)
{
    return testing::simulated_hosts::packet(caller, kind);
}

const core::time_point start{1h};

routing::flow_limits limits(std::size_t max_entries)
{
    routing::flow_limits result;
    result.max_entries = max_entries;
    return result;
}

} // namespace

// A flood of new flows must not evict established flows.
TEST_CASE("a flood of new flows evicts embryonic entries only")
{
    routing::flow_table table(limits(100));
    for (std::uint32_t i = 0; i < 60; ++i) {
        REQUIRE(table.insert(packet(i, packet_kind::syn), {}, start));
        REQUIRE(table.touch(packet(i, packet_kind::segment), start));
    }
    for (std::uint32_t i = 1000; i < 3000; ++i)
        REQUIRE(table.insert(packet(i, packet_kind::syn), {}, start));
    CHECK(table.size() == 100);
    CHECK(table.evictions() == 1960);
    for (std::uint32_t i = 0; i < 60; ++i)
        CHECK(table.touch(packet(i, packet_kind::segment), start));
}

// A full table must not evict an established flow to make room for a new one.
TEST_CASE("a table full of established flows refuses new ones")
{
    routing::flow_table table(limits(10));
    for (std::uint32_t i = 0; i < 10; ++i) {
        table.insert(packet(i, packet_kind::datagram), {}, start);
        table.touch(packet(i, packet_kind::datagram), start);
    }
    CHECK_FALSE(table.insert(packet(10, packet_kind::datagram), {}, start));
    CHECK(table.open_flows() == 10);
}

// An established flow must not be removed while it is idle for less than its limit, and entries must not stay forever.
TEST_CASE("entries expire at the idle limit of their stage")
{
    routing::flow_table table(limits(10));
    table.insert(packet(0, packet_kind::syn), {}, start);
    table.insert(packet(1, packet_kind::syn), {}, start);
    table.touch(packet(1, packet_kind::segment), start);
    table.insert(packet(2, packet_kind::datagram), {}, start);
    table.touch(packet(2, packet_kind::datagram), start);
    table.insert(packet(3, packet_kind::syn), {}, start);
    table.touch(packet(3, packet_kind::closing), start);
    table.expire(start + 59s);
    CHECK(table.size() == 4);
    table.expire(start + 60s);
    CHECK(table.size() == 2);
    table.expire(start + 299s);
    CHECK(table.size() == 2);
    table.touch(packet(2, packet_kind::datagram), start + 299s);
    table.expire(start + 300s);
    CHECK(table.size() == 2);
    table.expire(start + 2h - 1s);
    CHECK(table.size() == 1);
    CHECK(table.touch(packet(1, packet_kind::segment), start + 2h - 1s));
    table.expire(start + 4h - 2s);
    CHECK(table.size() == 1);
    table.expire(start + 4h - 1s);
    CHECK(table.size() == 0);
}

// A half-closed connection must not be cut off while the upstream still sends. The caller's acknowledgements keep its
// entry.
TEST_CASE("a closing flow stays while packets arrive")
{
    routing::flow_table table(limits(10));
    table.insert(packet(0, packet_kind::syn), {}, start);
    table.touch(packet(0, packet_kind::closing), start);
    for (int i = 1; i < 10; ++i) {
        table.expire(start + i * 50s);
        REQUIRE(table.touch(packet(0, packet_kind::segment), start + i * 50s));
    }
}

// If a new connection with the ports of a closed one counted as a known flow, it could reach a draining host.
TEST_CASE("a SYN after a FIN begins a new flow")
{
    routing::flow_table table(limits(10));
    table.insert(packet(0, packet_kind::syn), {}, start);
    CHECK(table.touch(packet(0, packet_kind::syn), start));
    table.touch(packet(0, packet_kind::segment), start);
    CHECK(table.touch(packet(0, packet_kind::syn), start));
    table.touch(packet(0, packet_kind::closing), start);
    CHECK_FALSE(table.touch(packet(0, packet_kind::syn), start));
    CHECK(table.open_flows() == 0);
}

// A watermark above the version of an open flow would allow pruning of history that the flow still needs.
TEST_CASE("the watermark is the version of the oldest open flow")
{
    routing::flow_table table(limits(10));
    CHECK_FALSE(table.watermark());
    table.insert(packet(0, packet_kind::syn), {std::nullopt, {1, 5}}, start);
    table.insert(packet(1, packet_kind::syn), {std::nullopt, {1, 3}}, start);
    table.insert(packet(2, packet_kind::syn), {routing::header_member{}, {1, 1}}, start);
    CHECK(table.watermark() == core::version{1, 3});
    table.erase(packet(1, packet_kind::syn).flow);
    CHECK(table.watermark() == core::version{1, 5});
    table.insert(packet(0, packet_kind::syn), {routing::header_member{}, {1, 1}}, start);
    CHECK_FALSE(table.watermark());
    CHECK(table.open_flows() == 0);
    CHECK(table.size() == 2);
}
