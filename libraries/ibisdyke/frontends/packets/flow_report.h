#pragma once

#include "ibisdyke/frontends/packets/packet_receiver.h"
#include "ibisdyke/membership/messages.h"

namespace ibisdyke::frontends {

/// Returns the heartbeat with the packet thread's count of open flows and its flow watermark. The watermark is the
/// packet thread's even if no flow is open, because a restarted agent may still adopt older flows and balancers with
/// older tables may still place flows.
membership::heartbeat with_flows(membership::heartbeat it, const packet_receiver_view& flows);

} // namespace ibisdyke::frontends
