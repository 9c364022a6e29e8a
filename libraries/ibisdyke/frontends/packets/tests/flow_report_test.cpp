#include "ibisdyke/frontends/packets/flow_report.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;

// An agent without open flows must not report its applied version as the watermark. This version can be newer than
// flows that the agent has not adopted yet after a restart, and newer than flows that balancers place with older
// tables.
TEST_CASE("an agent without open flows reports the watermark of its packet thread")
{
    membership::heartbeat sent;
    sent.applied = {1, 500};
    frontends::packet_receiver_view flows;
    flows.flow_watermark = {1, 10};
    CHECK(frontends::with_flows(sent, flows).flow_watermark == core::version{1, 10});
    // Until the packet thread has a table, the watermark is the default version.
    CHECK(frontends::with_flows(sent, {}).flow_watermark == core::version{});
    flows.active_flows = 3;
    const auto reported = frontends::with_flows(sent, flows);
    CHECK(reported.open_flows == 3);
    CHECK(reported.applied == core::version{1, 500});
}
