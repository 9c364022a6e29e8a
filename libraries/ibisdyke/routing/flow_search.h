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

/// The steps of a search along the chain in a packet header, for flow_agent. The functions are stateless.
namespace ibisdyke::routing::detail {

/// Returns the services that may hold flows of the route. The route's targets come before its former targets.
std::vector<core::service_id> possible_services(const flow_route& route);

/// Records that the header's service was searched without success.
void mark_service_searched(packet_header& header);

/// Returns the services of the route that were not searched yet, in the order in which to search them.
std::vector<core::service_id> unsearched_services(const flow_route& route, const packet_header& header);

/// Replaces the header's service and chain, and resets the state of the search except the searched services and
/// `hops`.
void reset_search(packet_header& header, const core::service_id& service, const chain& members);

/// Whether the header's service and current position are those of the agent.
bool is_addressed_to(const packet_header& header, const agent_snapshot& agent);

/// Whether the packet's destination belongs to the agent's service. The header cannot show this, because a balancer
/// that maps an address to the wrong service writes a header that is consistent with this service. Also returns true
/// if the header's table is newer than the agent's, because that table may contain a route that the agent lacks.
bool is_for_service(const packet_info& packet, const packet_header& header, const agent_snapshot& agent);

/// Returns the position of a member in the header's chain. Adds the member if it is missing, and replaces the last
/// member of a full chain.
std::uint32_t find_or_add_member(packet_header& header, const header_member& target);

bool was_asked(const packet_header& header, std::uint32_t position);

/// Records that the member need not be asked in this phase.
void mark_asked(packet_header& header, const core::upstream_id& id);

/// Returns the position of the next candidate after the current position that was not asked, or nothing.
std::optional<std::uint32_t> next_unasked_candidate(const packet_header& header);

/// Returns the position of the next member that was not asked, searching from the current position and wrapping around.
std::optional<std::uint32_t> next_unasked_member(const packet_header& header);

/// Whether the target of a redirect entry may hold the flow, or may begin it if no member knows the flow.
bool may_hold(const header_member& target, const packet_header& header, const agent_snapshot& agent);

/// Returns a lower bound for the versions at which the agent's flows began.
core::version earliest_flow_version(const agent_snapshot& agent);

/// Whether the agent lost its flow table recently, so that it may not know all of its flows.
bool is_recovering(const agent_snapshot& agent, core::time_point now);

/// Marks this agent as the one to adopt the flow if it restarted later than all other agents asked so far. An agent
/// that restarted earlier has probably adopted its flows already, so an unknown flow likely belongs to the later one.
void offer_adoption(packet_header& header, const agent_snapshot& agent, core::time_point now);

/// Adds the members of the agent's own chain that the header lacks, if the header's table is older. A member whose
/// failure domain has returned since then may hold the flow.
void add_own_chain(packet_header& header, const packet_info& packet, const agent_snapshot& agent);

/// Whether the search for the flow is complete. The table must be known to be current, and all members that may hold
/// the flow according to this table must have been asked.
bool is_search_complete(
    const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now);

/// Returns the reachable members that the header lacks and that were not asked before, in search order: the members
/// that may hold flows of the bucket come first, then all others by rank.
std::vector<chain_member> members_missing_from(
    std::uint32_t bucket, const packet_header& header, const service_chains& members);

/// Replaces the members of a full chain, all of which were asked, so that the next ones in search order can be added.
/// Keeps the member at the current position, and the one that may adopt the flow. Drops the candidates, so the packet
/// must not be one that may start a flow.
void begin_next_members(std::uint32_t bucket, packet_header& header, const service_chains& members);

/// Prepares the header to place a new flow, starting at the first candidate. Returns false if there is no candidate.
bool begin_placement(packet_header& header);

} // namespace ibisdyke::routing::detail
