#include "ibisdyke/frontends/requests/usage_meter.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace std::chrono_literals;

// A lost heartbeat or a failed leader must not lose the last usage of an agent that is idle afterwards.
TEST_CASE("a report is sent when something changed, and repeated every 10 s")
{
    frontends::usage_meter meter(core::incarnation(1));
    const core::time_point start{1h};
    CHECK(meter.take_report(start).empty());
    meter.add(core::neighbour("n"), "s", {1, 1, 1, 1, 1});
    const auto first = meter.take_report(start);
    CHECK_FALSE(first.empty());
    CHECK(meter.take_report(start + 500ms).empty());
    CHECK(meter.take_report(start + 9999ms).empty());
    CHECK(meter.take_report(start + 10s) == first);
    CHECK(meter.take_report(start + 10500ms).empty());
    meter.add(core::neighbour("n"), "s", {1, 1, 1, 1, 1});
    CHECK_FALSE(meter.take_report(start + 11s).empty());
}
