#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/core/version.h"
#include "ibisdyke/routing/agent_snapshot.h"
#include "ibisdyke/routing/messages.h"
#include "ibisdyke/routing/packet_decision.h"
#include "ibisdyke/routing/packet_info.h"
#include "ibisdyke/routing/router.h"
#include "ibisdyke/routing/start_pace.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ibisdyke::frontends {

/// Returns the id of a flow in logs: "SOURCE>DESTINATION", the caller's endpoint and the public endpoint.
std::string flow_id(const routing::flow_key& flow);

/// A decision of an agent about a packet, with the input of the decision.
struct logged_decision {
    const routing::packet_info& packet;
    /// The header that the packet arrived with.
    const routing::packet_header& header;
    const routing::packet_decision& decision;
    const routing::agent_snapshot& agent;
    routing::upstream_load load;
    /// The limit of the requests in progress, while the upstream starts.
    std::optional<std::uint32_t> start_limit = std::nullopt;
};

/// Logs an agent's decision that places, adopts or rejects a flow, drops a packet, or forwards a packet that may begin
/// a flow. Does not log packets of known flows.
void log_decision(const logged_decision& it);

/// Logs the begin or the end of a start of the agent's upstream.
void log_start_event(const routing::start_event& it, const routing::agent_snapshot& agent);

/// Logs that the upstream has returned a packet.
void log_returned(const routing::packet_info& packet, const routing::agent_snapshot& agent);

/// Logs that a balancer cannot forward a packet, because its table of this version has no upstream for the destination.
void log_unrouted(
    const routing::packet_info& packet, routing::address_state address, bool rejected, const core::version& version);

/// Logs that a balancer drops a SYN which has waited while the balancer stood still.
void log_outdated(const routing::packet_info& packet, const core::version& version);

/// Logs that the packet thread `name` has stood still.
void log_stall(std::string_view name, core::milliseconds length);

} // namespace ibisdyke::frontends
