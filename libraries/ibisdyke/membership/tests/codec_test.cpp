#include "ibisdyke/core/error.h"
#include "ibisdyke/membership/wire/codec.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace ibisdyke;
using namespace ibisdyke::membership;

namespace {

heartbeat full_heartbeat()
{
    heartbeat it;
    it.sender_role = process_role::agent;
    it.sender = core::incarnation(0x123456789abcdef0);
    it.sequence = 172'800;
    it.name = "formula-desk-host-07";
    it.domain = core::failure_domain("zone-a");
    it.applied = {1200, 10'000'000};
    it.peer_endpoint = core::endpoint::create("10.20.30.40:7100");
    it.service = "formula-desk";
    it.packet_endpoint = core::endpoint::create("10.20.30.40:7000");
    it.request_endpoint = core::endpoint::create("10.20.30.40:7001");
    it.slots = 5;
    it.upstream_incarnation = core::incarnation(1'700'000'000'000);
    it.draining = true;
    it.departed = true;
    it.open_flows = 2000;
    it.flow_watermark = {1100, 9'000'000};
    return it;
}

} // namespace

// Larger heartbeats would use up the bandwidth budget of the control traffic.
TEST_CASE("a heartbeat without usage takes less than 200 bytes")
{
    const auto bytes = wire::encode(full_heartbeat());
    INFO("encoded heartbeat: " << bytes.size() << " bytes");
    CHECK(bytes.size() < 130);
}

TEST_CASE("messages of the membership slice survive encoding")
{
    auto beat = full_heartbeat();
    CHECK(wire::decode_heartbeat(wire::encode(beat)) == beat);
    beat.usage = std::string("\0\1usage", 7);
    beat.request_endpoint = core::endpoint::create("10.20.30.41:7001");
    CHECK(wire::decode_heartbeat(wire::encode(beat)) == beat);
    CHECK(wire::decode_heartbeat(wire::encode(heartbeat{})) == heartbeat{});

    const heartbeat_answer answer{heartbeat_result::name_taken, core::upstream_id(10'240), {3, 4}, 12.5};
    CHECK(wire::decode_heartbeat_answer(wire::encode(answer)) == answer);
    CHECK(wire::decode_heartbeat_answer(wire::encode(heartbeat_answer{})) == heartbeat_answer{});

    membership_change change;
    change.joins.push_back({core::service_id(1), "a", core::failure_domain("zone-a"), {1, 2}, {3, 4},
        core::incarnation(5), 6, core::incarnation(11)});
    change.updates.push_back({core::upstream_id(7), upstream_state::suspect, core::incarnation(8), {1, 2}, {1, 3}, 4,
        core::incarnation(12), {5, 6}, core::wall_time(core::milliseconds(1'700'000'000'000))});
    change.forgotten = {core::upstream_id(9), core::upstream_id(10)};
    change.relays = {{"balancer", {1, 2}}};
    change.removed_relays = {"old"};
    change.controls = {{core::control_id(1), {3, 4}}, {core::control_id(4), {5, 6}}};
    change.removed_controls = {core::control_id(2), core::control_id(3)};
    CHECK(wire::decode_membership_change(wire::encode(change)) == change);

    membership_state state;
    state.upstreams[core::upstream_id(7)] = {core::upstream_id(7), core::service_id(1), "a",
        core::failure_domain("zone-a"), {1, 2}, {3, 4}, core::incarnation(5), core::incarnation(13), 6,
        upstream_state::gone, core::wall_time(core::milliseconds(1'700'000'000'000)),
        {{{1, 2}, core::version{1, 3}}, {{1, 4}, std::nullopt}}, {2, 5}, {1, 3}, true};
    state.relays = {{"balancer", {1, 2}}};
    state.controls = {{core::control_id(1), {3, 4}}, {core::control_id(4), {5, 6}}};
    CHECK(wire::decode_membership_state(wire::encode(state)) == state);
}

// A truncated or foreign message must not be decoded as an empty heartbeat.
TEST_CASE("malformed bytes and values out of range are rejected")
{
    const auto bytes = wire::encode(full_heartbeat());
    CHECK_THROWS_AS(wire::decode_heartbeat(bytes.substr(0, bytes.size() - 1)), core::malformed_message);
    CHECK_THROWS_AS(wire::decode_heartbeat("\xff\xff\xff"), core::malformed_message);
    auto beat = full_heartbeat();
    beat.sender_role = static_cast<process_role>(9);
    CHECK_THROWS_AS(wire::decode_heartbeat(wire::encode(beat)), core::malformed_message);
    heartbeat_answer answer;
    answer.result = static_cast<heartbeat_result>(77);
    CHECK_THROWS_AS(wire::decode_heartbeat_answer(wire::encode(answer)), core::malformed_message);
}

// A decoded NaN does not compare equal to itself. The fuzzer found such a value in the answer to a heartbeat.
TEST_CASE("a mean of open flows that is not finite is rejected")
{
    for (const double number : {std::numeric_limits<double>::quiet_NaN(), -std::numeric_limits<double>::quiet_NaN(),
             std::numeric_limits<double>::infinity()}) {
        heartbeat_answer answer;
        answer.mean_open_flows = number;
        CHECK_THROWS_AS(wire::decode_heartbeat_answer(wire::encode(answer)), core::malformed_message);
    }
}
