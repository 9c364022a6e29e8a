#pragma once

#include "ibisdyke/core/ids.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/core/version.h"
#include "ibisdyke/routing/agent_snapshot.h"
#include "ibisdyke/routing/flow_route.h"
#include "ibisdyke/routing/messages.h"
#include "ibisdyke/routing/packet_info.h"

#include <cstdint>
#include <optional>
#include <vector>

/// The steps of a search along the chain in a packet's header, for flow_agent. All are functions of values.
namespace ibisdyke::routing::detail {

/// Returns the services that may hold flows of the route, those that take new ones first.
std::vector<core::service_id> services_of(const flow_route& route);

/// Begins the header's search anew with another chain.
void use_chain(packet_header& header, const core::service_id& service, const chain& members);

/// Whether the header is addressed to the agent.
bool names(const packet_header& header, const agent_snapshot& agent);

/// Whether the packet is addressed to the agent's service. The header alone does not tell: a balancer that takes an
/// address for another service's names that service's upstreams rightly.
bool is_for_service(const packet_info& packet, const packet_header& header, const agent_snapshot& agent);

/// Returns the position of a member in the header's chain; adds the member when it is not there.
std::uint32_t position_of(packet_header& header, const header_member& target);

bool was_asked(const packet_header& header, std::uint32_t position);

/// Returns the next member to ask: the first one after the present one that was not asked, or else before it.
std::optional<std::uint32_t> next_to_ask(const packet_header& header);

/// Whether the flow may still be open at the member that it was passed along to.
bool holds(const header_member& target, const packet_header& header, const agent_snapshot& agent);

/// Returns a version that no flow of the agent can be older than.
core::version earliest(const agent_snapshot& agent);

/// Whether the agent has lost its flows so lately that some may be unknown to it.
bool is_recovering(const agent_snapshot& agent, core::time_point now);

/// Names this agent as the one to adopt the flow, when it has restarted later than any other that was asked: an agent
/// that restarted earlier has adopted its flows by now, so an unknown flow is likely the later one's.
void offer_adoption(packet_header& header, const agent_snapshot& agent, core::time_point now);

/// Adds the members of this agent's own chain that the header leaves out, when the balancer's table is the older one: a
/// member whose failure domain has returned since then may hold the flow.
void add_own_chain(packet_header& header, const packet_info& packet, const agent_snapshot& agent);

/// Whether the search for the flow is over: control vouches for the table, and all members that may hold the flow by it
/// were asked.
bool has_searched(
    const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now);

/// Returns the reachable members that the header leaves out, those first that may hold flows of the bucket.
std::vector<chain_member> members_left_out(
    std::uint32_t bucket, const packet_header& header, const service_chains& members);

/// Sends the packet to the first candidate, to place a new flow. Returns false when the chain has no candidate.
bool begin_placement(packet_header& header);

} // namespace ibisdyke::routing::detail
