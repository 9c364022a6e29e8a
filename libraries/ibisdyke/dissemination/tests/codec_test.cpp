#include "ibisdyke/core/error.h"
#include "ibisdyke/dissemination/wire/codec.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace ibisdyke::dissemination;

namespace {

membership::upstream full_upstream()
{
    membership::upstream it;
    it.id = core::make_upstream_id(10'000'000, 0);
    it.service = core::service_id(9'000'000);
    it.name = "formula-desk-host-07";
    it.domain = core::failure_domain("zone-a");
    it.packet_endpoint = core::endpoint::create("10.20.30.40:7000");
    it.request_endpoint = core::endpoint::create("10.20.30.40:7001");
    it.agent = core::incarnation(0x123456789abcdef0);
    it.slots = 5;
    it.state = membership::upstream_state::active;
    it.history = {{{1200, 10'000'000}, std::nullopt}};
    return it;
}

delta full_delta()
{
    delta it;
    it.from = {1, 2};
    it.to = {1, 3};
    configuration::profile profile;
    profile.name = "standard";
    profile.revision = 4;
    profile.neighbours = {{core::neighbour("riechwerk"), 3, 100, 20}};
    it.profiles = {profile};
    it.removed_profiles = {"old"};
    it.services = {{core::service_id(5), "formula-desk", "standard",
        {{core::endpoint::create("192.0.2.1:443"), configuration::transport_protocol::udp}}}};
    it.removed_services = {core::service_id(6)};
    it.domains = {{core::failure_domain("zone-a"), configuration::domain_state::out, {{{1, 1}, core::version{1, 2}}}}};
    it.upstreams = {full_upstream()};
    it.removed_upstreams = {core::upstream_id(7)};
    it.tokens = {{std::string(64, 'a'), core::neighbour("riechwerk"), configuration::role::operate}};
    it.removed_tokens = {std::string(64, 'b')};
    it.relays = {{"balancer-1", {1, 7100}}};
    it.removed_relays = {"balancer-2"};
    return it;
}

system_state full_state()
{
    system_state it;
    it.applied = {1, 3};
    const auto records = full_delta();
    it.configuration.profiles.emplace("standard", records.profiles.front());
    it.configuration.services.emplace(core::service_id(5), records.services.front());
    it.configuration.domains.emplace(core::failure_domain("zone-a"), records.domains.front());
    it.configuration.tokens.emplace(std::string(64, 'a'), records.tokens.front());
    it.membership.upstreams.emplace(full_upstream().id, full_upstream());
    it.membership.relays = records.relays;
    return it;
}

} // namespace

// Deltas must not exceed the control traffic budget of 7 KB/s per node.
TEST_CASE("a delta of one upstream takes less than 130 bytes")
{
    delta change;
    change.from = {1200, 10'000'000};
    change.to = {1200, 10'000'001};
    change.upstreams = {full_upstream()};
    CHECK(wire::encode(subscription_message(change)).size() < 130);
}

TEST_CASE("decoded dissemination messages equal the encoded ones")
{
    CHECK(wire::decode_delta(wire::encode(full_delta())) == full_delta());
    CHECK(wire::decode_system_state(wire::encode(full_state())) == full_state());

    subscribe_request request{{1, 2}, "agent-1", core::endpoint{1, 7100}, {{2, 7100}, {3, 7100}}};
    CHECK(wire::decode_subscribe_request(wire::encode(request)) == request);
    request.relay.reset();
    CHECK(wire::decode_subscribe_request(wire::encode(request)) == request);

    const keep_alive alive{{1, 2}, core::milliseconds(1500)};
    CHECK(wire::decode_subscription_message(wire::encode(subscription_message(alive))) == subscription_message(alive));
    const redirect target{{5, 7100}};
    CHECK(
        wire::decode_subscription_message(wire::encode(subscription_message(target))) == subscription_message(target));
    CHECK(wire::decode_subscription_message(wire::encode(subscription_message(full_delta())))
        == subscription_message(full_delta()));
    const auto snapshot = wire::decode_subscription_message(
        wire::encode(subscription_message(std::make_shared<const system_state>(full_state()))));
    CHECK(*std::get<system_state_snapshot>(snapshot) == full_state());
}

namespace {

/// A change that adds `n` routes, as operators send them: names and addresses of one pattern.
delta make_route_delta(std::uint16_t n)
{
    delta result;
    result.from = {3, 10};
    result.to = {3, 11};
    for (std::uint16_t i = 0; i < n; ++i) {
        configuration::route it;
        it.name = "route-" + std::to_string(i * 7919 % 65'536);
        it.address = {{0xc6120000U + i, 8443}, configuration::transport_protocol::tcp};
        it.targets = {{core::service_id(7), 1}};
        it.request_timeout = core::milliseconds(2000);
        it.latency_target = core::milliseconds(400);
        result.routes.push_back(it);
    }
    return result;
}

} // namespace

// A relay sends each change to up to 12 subscribers. Where its link carries 2 Mbit/s, 1,640 routes in one change took
// more than 5 s, and requests were handled by the old configuration all the while.
TEST_CASE("a change of many routes takes less than 12 bytes for each route")
{
    const auto large = make_route_delta(1640);
    const auto bytes = wire::encode(subscription_message(large), wire::delta_compression::large_deltas);
    CHECK(bytes.size() < 12 * large.routes.size());
    CHECK(std::get<delta>(wire::decode_subscription_message(bytes)) == large);
    for (std::size_t n = 0; n < bytes.size(); n += 100)
        CHECK_THROWS_AS(
            wire::decode_subscription_message(std::string_view(bytes).substr(0, n)), core::malformed_message);
    // Earlier versions read only deltas that are not compressed.
    CHECK(wire::encode(subscription_message(large)).size() > bytes.size());
    CHECK(std::get<delta>(wire::decode_subscription_message(wire::encode(subscription_message(large)))) == large);
    const auto small = make_route_delta(2);
    CHECK(wire::encode(subscription_message(small), wire::delta_compression::large_deltas)
        == wire::encode(subscription_message(small)));
}

// A malformed message, from a peer of another version or a broken connection, must not be applied.
TEST_CASE("malformed bytes and values out of range are rejected")
{
    const auto bytes = wire::encode(subscription_message(full_delta()));
    CHECK_THROWS_AS(wire::decode_subscription_message(bytes.substr(0, bytes.size() - 3)), core::malformed_message);
    CHECK_THROWS_AS(wire::decode_subscription_message(""), core::malformed_message);
    auto change = full_delta();
    change.upstreams.front().state = static_cast<membership::upstream_state>(9);
    CHECK_THROWS_AS(wire::decode_delta(wire::encode(change)), core::malformed_message);
    change = full_delta();
    change.services.front().addresses.front().protocol = static_cast<configuration::transport_protocol>(1);
    CHECK_THROWS_AS(wire::decode_delta(wire::encode(change)), core::malformed_message);
    change = full_delta();
    change.tokens.front().assigned_role = static_cast<configuration::role>(4);
    CHECK_THROWS_AS(wire::decode_delta(wire::encode(change)), core::malformed_message);
    change = full_delta();
    change.domains.front().state = static_cast<configuration::domain_state>(3);
    CHECK_THROWS_AS(wire::decode_delta(wire::encode(change)), core::malformed_message);
}
