#pragma once

#include "ibisdyke/routing/agent_snapshot.h"
#include "ibisdyke/routing/messages.h"
#include "ibisdyke/routing/packet_decision.h"
#include "ibisdyke/routing/packet_info.h"
#include "ibisdyke/routing/router.h"

#include <string>

namespace ibisdyke::frontends {

/// Returns "CALLER>PUBLIC", the id of a flow in logs.
std::string flow_id(const routing::flow_key& flow);

/// What an agent decided about a packet, and from what.
struct logged_decision {
    const routing::packet_info& packet;
    /// As the packet came.
    const routing::packet_header& header;
    const routing::packet_decision& decision;
    const routing::agent_snapshot& agent;
    routing::upstream_load load;
};

/// Writes a line for a decision of an agent that begins, moves or ends a flow; none for packets of known flows.
void log_decision(const logged_decision& it);

/// Writes a line for a packet that the upstream has returned.
void log_disowned(const routing::packet_info& packet, const routing::agent_snapshot& agent);

/// Writes a line for a flow that a balancer cannot send on. `version` is its table's.
void log_unrouted(
    const routing::packet_info& packet, routing::address_state address, bool rejected, const core::version& version);

} // namespace ibisdyke::frontends
