#pragma once

#include "ibisdyke/routing/messages.h"

#include <cstdint>
#include <optional>

namespace ibisdyke::routing {

enum class packet_action : std::uint8_t {
    /// Pass the packet of a known flow to the upstream.
    deliver,
    /// Begin the flow here and pass the packet to the upstream.
    place,
    /// Continue a flow here whose entry was lost in a restart, and pass the packet to the upstream.
    adopt,
    /// Send the packet to another agent.
    forward,
    /// Tell the caller that the flow does not exist or is refused.
    reject,
    drop,
};

/// Why a packet was rejected or dropped. After the candidates have refused a new flow, the reason of the last one.
enum class packet_reason : std::uint8_t {
    none,
    /// The header is addressed to another upstream or service, or the packet's destination belongs to another service.
    foreign,
    /// The packet has visited max_hops agents.
    too_many_hops,
    domain_out,
    /// No member knows the flow, and the packet cannot begin a flow.
    unknown_flow,
    /// There is no candidate, or the limits of the upstream allow no more flows now.
    no_capacity,
    /// The flow table is full of established flows.
    table_full,
    /// Operators have removed the route of the flow's destination.
    withdrawn,
    /// The upstream would not respond within the route's latency target.
    overloaded,
    /// The upstream has no free slot, and flows at their first SYN precede this retransmitted SYN. The packet is
    /// dropped if the caller will retransmit it again, and otherwise rejected.
    yields,
    /// The upstream would respond in time, but the places left in its queue are kept for flows of routes with a higher
    /// priority.
    lower_priority,
    /// The agent has stood still for so long that the caller has probably sent the SYN again or given up.
    outdated,
    /// The packet would be rejected, but the limit on rejections is reached.
    answer_limit,
};

/// What a decision about a new flow has to do with the flow's offer to several targets of its route.
enum class overflow_step : std::uint8_t {
    none,
    /// The flow is offered to another target, because the candidates of this service have no room for it.
    offered,
    /// A target that the flow's hash does not select begins the flow.
    taken,
    /// No target has room, so the flow goes to a candidate of an earlier target that may queue it.
    returned,
};

/// An agent's decision about a packet.
struct packet_decision {
    packet_action action = packet_action::drop;
    packet_reason reason = packet_reason::none;
    /// The header for the next agent; set for `forward`.
    std::optional<packet_header> next;
    overflow_step overflow = overflow_step::none;

    friend bool operator==(const packet_decision&, const packet_decision&) = default;
};

} // namespace ibisdyke::routing
