#include "ibisdyke/routing/overload_monitor.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace std::chrono_literals;
using routing::overload_monitor;

namespace {

constexpr core::time_point start{1h};

} // namespace

// Callers must not wait for a retransmission that will find no free slot either.
TEST_CASE("an overload lasts when no slot was free for as long as a caller retransmits")
{
    const overload_monitor monitor;
    CHECK_FALSE(monitor.is_lasting(std::nullopt, start));
    CHECK_FALSE(monitor.is_lasting(start, start + 599ms));
    CHECK(monitor.is_lasting(start, start + 600ms));
}

// After an outage the callers of the outage take the slots. A caller who waited for its retransmission would be late.
TEST_CASE("an overload lasts from its beginning while the callers of an outage return")
{
    overload_monitor monitor;
    monitor.record_start(start);
    CHECK_FALSE(monitor.is_lasting(std::nullopt, start + 100ms));
    CHECK(monitor.is_lasting(start + 100ms, start + 100ms));
    CHECK(monitor.is_lasting(start + 1900ms, start + 1999ms));
    CHECK_FALSE(monitor.is_lasting(start + 1900ms, start + 2000ms));
}
