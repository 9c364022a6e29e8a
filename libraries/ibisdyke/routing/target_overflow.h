#pragma once

#include "ibisdyke/core/ids.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/routing/agent_snapshot.h"
#include "ibisdyke/routing/flow_key.h"
#include "ibisdyke/routing/flow_route.h"
#include "ibisdyke/routing/flow_table.h"
#include "ibisdyke/routing/messages.h"
#include "ibisdyke/routing/packet_decision.h"
#include "ibisdyke/routing/packet_info.h"
#include "ibisdyke/routing/routing_table.h"

#include <optional>
#include <vector>

/// Decides when a new flow leaves the target that its hash selects for another target of its route.
///
/// Load pattern: the weights of a split do not match the sizes of its services, or a burst fills the smaller service.
/// Its candidates then queue or refuse flows, although hosts of the other targets are free.
///
/// The functions are stateless. They depend on the packet, its header, the agent's snapshot and the time.
namespace ibisdyke::routing {

/// What the candidates of the header's service have answered to a new flow, once all were asked.
struct candidate_answers {
    /// The least loaded candidate that admits the flow; nothing if none does.
    std::optional<target_fallback> best;
    /// Whether the last candidate would drop the SYN to wait for its next retransmission.
    bool awaits_retransmission = false;

    friend bool operator==(const candidate_answers&, const candidate_answers&) = default;
};

/// The next step of a new flow that leaves the header's service.
struct overflow_decision {
    overflow_step step = overflow_step::none;
    /// The header for the next agent, whose position is set.
    packet_header next;

    friend bool operator==(const overflow_decision&, const overflow_decision&) = default;
};

/// Selects a target of the flow's route in proportion to the weights, among those that have a weight above 0 and
/// candidates and are not excluded. Returns nothing if there is none.
std::optional<route_target> select_other_target(
    const routing_table& table, const flow_key& flow, const std::vector<core::service_id>& excluded);

/// Decides whether a SYN that all candidates of the header's service have answered is offered to another target, or
/// returned to an earlier target's candidate that may queue it. Returns nothing if the flow stays in this service: a
/// candidate has room, the agent's table may be out of date, or the route has no other target with a weight above 0.
std::optional<overflow_decision> decide_overflow(const packet_info& packet, const packet_header& header,
    const agent_snapshot& agent, const candidate_answers& answers, core::time_point now);

/// Returns the header with which a packet follows a redirect entry to a member of another service. Returns nothing if
/// the member cannot hold the flow, or if the packet has been in that service.
std::optional<packet_header> follow_redirect_to_service(
    const packet_info& packet, const packet_header& header, const flow_entry& entry, const agent_snapshot& agent);

/// Whether the header's service is a target that the flow was offered to after another one.
bool is_in_other_target(const packet_header& header);

} // namespace ibisdyke::routing
