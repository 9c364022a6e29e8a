#include "ibisdyke/membership/agent_restart.h"

#include <catch2/catch.hpp>

using ibisdyke::membership::may_hold_unknown_flows;

// An agent that restarts shortly after its upstream finds the run before in the record, although its earlier process
// has passed flows to the present run. If it did not ask the upstream for them, they would be rejected.
TEST_CASE("a restarted agent asks an upstream that returns packets, whichever run is recorded")
{
    for (const bool upstream_restarted : {false, true})
        CHECK(may_hold_unknown_flows({true, upstream_restarted, false, true}));
}

// An upstream that returns no packets cannot show that it does not hold a flow, so the agent would adopt flows that the
// restart of the upstream has ended.
TEST_CASE("a restarted agent does not adopt flows of an upstream that has restarted and returns no packets")
{
    CHECK(may_hold_unknown_flows({true, false, false, false}));
    CHECK_FALSE(may_hold_unknown_flows({true, true, false, false}));
}

TEST_CASE("there are no unknown flows at a first process or at an upstream that has left")
{
    for (const bool returns_packets : {false, true}) {
        CHECK_FALSE(may_hold_unknown_flows({false, false, false, returns_packets}));
        CHECK_FALSE(may_hold_unknown_flows({true, false, true, returns_packets}));
    }
}
