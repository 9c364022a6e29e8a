#include "ibisdyke/routing/failed_searches.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace ibisdyke::routing;
using namespace std::chrono_literals;

namespace {

flow_key make_flow(std::uint16_t port)
{
    flow_key result;
    result.source_port = port;
    return result;
}

} // namespace

// P1: agents whose tables lacked a member that had just joined reset a flow at this member (1 broken flow of 559 in the
// demo).
TEST_CASE("a flow is rejected only when a second search fails after 2 s")
{
    failed_searches searches;
    const core::time_point start{10s};
    CHECK_FALSE(searches.record_failure(make_flow(1), start));
    CHECK_FALSE(searches.record_failure(make_flow(1), start + 1900ms));
    CHECK(searches.record_failure(make_flow(1), start + 2s));
    CHECK_FALSE(searches.record_failure(make_flow(2), start + 2s));
}

// An old failure must not confirm a new one, and a flood of unknown flows must not make the memory grow.
TEST_CASE("failed searches expire and are bounded in number")
{
    failed_searches searches;
    const core::time_point start{10s};
    for (std::uint32_t port = 0; port < 10'000; ++port)
        CHECK_FALSE(searches.record_failure(make_flow(static_cast<std::uint16_t>(port)), start));
    CHECK(searches.size() == failed_searches::max_entries);
    CHECK_FALSE(searches.record_failure(make_flow(1), start + 60s));
    CHECK(searches.size() == 1);
}

// P1: with two changes within a minute, a failed search during the first change let a single failed search during the
// second one reject the flow.
TEST_CASE("failed searches during different changes do not confirm each other")
{
    failed_searches searches;
    const core::time_point start{10s};
    CHECK_FALSE(searches.record_failure(make_flow(1), start));
    CHECK_FALSE(searches.record_failure(make_flow(1), start + 15s));
    CHECK_FALSE(searches.record_failure(make_flow(1), start + 16s));
    CHECK(searches.record_failure(make_flow(1), start + 17s));
}
