#pragma once

#include "ibisdyke/frontends/packets/packet_receiver.h"
#include "ibisdyke/membership/messages.h"

namespace ibisdyke::frontends {

/// Returns the heartbeat with what the packet thread knows of its flows. The watermark is the packet thread's also when
/// no flow is open: a restarted agent has flows to adopt, and balancers with older tables still place flows.
membership::heartbeat with_flows(membership::heartbeat it, const packet_receiver_view& flows);

} // namespace ibisdyke::frontends
