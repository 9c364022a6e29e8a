#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/error.h"

#include <catch2/catch.hpp>

using ibisdyke::core::endpoint;
using ibisdyke::core::invalid_input;

TEST_CASE("endpoint text survives a round trip")
{
    const auto it = endpoint::create("127.0.1.5:7001");
    CHECK(it.address == 0x7f000105);
    CHECK(it.port == 7001);
    CHECK(to_string(it) == "127.0.1.5:7001");
}

// A typing error in a setting must not be accepted as a different address.
TEST_CASE("endpoint refuses malformed text")
{
    for (const auto* text : {"", "127.0.0.1", "127.0.0:1", "127.0.0.256:1", "127.0.0.1:65536", "127.0.0.1:1x", "a:1"})
        CHECK_THROWS_AS(endpoint::create(text), invalid_input);
}
