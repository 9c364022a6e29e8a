#include "ibisdyke/frontends/packets/flow_report.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;

// Guards against a watermark that passes the flows which a restarted agent has yet to adopt, or the flows that
// balancers place by older tables: an agent without open flows used to report its applied version.
TEST_CASE("an agent without open flows reports the watermark of its packet thread")
{
    membership::heartbeat before;
    before.applied = {1, 500};
    frontends::packet_receiver_view flows;
    flows.flow_watermark = {1, 10};
    CHECK(frontends::with_flows(before, flows).flow_watermark == core::version{1, 10});
    // Before the packet thread has a table, nothing is known.
    CHECK(frontends::with_flows(before, {}).flow_watermark == core::version{});
    flows.active_flows = 3;
    const auto after = frontends::with_flows(before, flows);
    CHECK(after.open_flows == 3);
    CHECK(after.applied == core::version{1, 500});
}
