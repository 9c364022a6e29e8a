#include "ibisdyke/routing/destination_table.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace routing;

namespace {

flow_key flow_to(std::uint16_t port, std::uint16_t source_port)
{
    return {0x0a00'0001, 0xc612'0001, source_port, port, ip_protocol::tcp};
}

public_address address_with_port(std::uint16_t port)
{
    return {{0xc612'0001, port}, ip_protocol::tcp};
}

const core::service_id desk(1);
const core::service_id store(2);

} // namespace

// Checks that the split follows the weights and that the same flow always gets the same target, as it must in every
// process.
TEST_CASE("flows of a route are split by weight, and each flow always gets the same target")
{
    const destination_table table({{address_with_port(443), {{desk, 90}, {store, 10}}, {}}}, {});
    std::size_t to_store = 0;
    constexpr std::uint16_t flows = 10'000;
    for (std::uint16_t i = 0; i < flows; ++i) {
        const auto* const target = table.choose(flow_to(443, i));
        REQUIRE(target != nullptr);
        CHECK(table.choose(flow_to(443, i)) == target);
        to_store += target->service == store ? 1 : 0;
    }
    CHECK(to_store > flows * 8 / 100);
    CHECK(to_store < flows * 12 / 100);
}

// A target of weight 0 must get no new flows while the route has another target. choose() returns the only target of a
// route whatever its weight.
TEST_CASE("a target without weight takes no new flows")
{
    const destination_table table(
        {{address_with_port(443), {{desk, 0}, {store, 1}}, {}}, {address_with_port(80), {{desk, 0}}, {}}}, {});
    for (std::uint16_t i = 0; i < 100; ++i)
        CHECK(table.choose(flow_to(443, i))->service == store);
    CHECK(table.choose(flow_to(80, 1)) != nullptr);
}

TEST_CASE("an address is routed, withdrawn or unknown")
{
    const destination_table table({{address_with_port(443), {{desk, 1}}, {}}}, {address_with_port(80)});
    CHECK(table.state_of(flow_to(443, 1)) == address_state::routed);
    CHECK(table.state_of(flow_to(80, 1)) == address_state::withdrawn);
    CHECK(table.state_of(flow_to(81, 1)) == address_state::unknown);
    CHECK(table.find(flow_to(80, 1)) == nullptr);
    CHECK(table.choose(flow_to(81, 1)) == nullptr);
    CHECK(destination_table().state_of(flow_to(443, 1)) == address_state::unknown);
}

TEST_CASE("the first of several routes of an address is used")
{
    const destination_table table(
        {{address_with_port(443), {{desk, 1}}, {}}, {address_with_port(443), {{store, 1}}, {}}},
        {address_with_port(443)});
    CHECK(table.choose(flow_to(443, 1))->service == desk);
    CHECK(table.state_of(flow_to(443, 1)) == address_state::routed);
}
