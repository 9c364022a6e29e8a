#include "ibisdyke/frontends/packets/flow_report.h"

namespace ibisdyke::frontends {

membership::heartbeat with_flows(membership::heartbeat it, const packet_receiver_view& flows)
{
    it.open_flows = flows.active_flows;
    it.flow_watermark = flows.flow_watermark;
    return it;
}

} // namespace ibisdyke::frontends
