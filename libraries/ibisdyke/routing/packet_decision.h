#pragma once

#include "ibisdyke/routing/messages.h"

#include <cstdint>
#include <optional>

namespace ibisdyke::routing {

enum class packet_action : std::uint8_t {
    /// Hand the packet of a known flow to the upstream.
    deliver,
    /// The flow begins here; hand the packet to the upstream.
    place,
    /// The flow was lost in a restart and continues here; hand the packet to the upstream.
    adopt,
    /// Send the packet to another agent.
    forward,
    /// Tell the caller that there is no such flow.
    reject,
    drop,
};

enum class packet_reason : std::uint8_t {
    none,
    /// The header names another upstream or service, or the packet is addressed to another service.
    foreign,
    /// The packet has visited max_hops agents.
    too_many_hops,
    domain_out,
    /// No member knows the flow, and the packet cannot begin one.
    unknown_flow,
    /// No candidate may take a new flow now.
    no_capacity,
    /// The flow table is full of established flows.
    table_full,
    /// Operators have removed the route of the flow's destination.
    withdrawn,
    /// No candidate would answer within the route's latency target.
    overloaded,
    /// All candidates are busy, and flows that have waited less go first. The caller sends the packet again.
    yields,
    /// The packet would be rejected, but answers are being sent at their highest rate.
    answer_limit,
};

/// What becomes of a packet at an agent.
struct packet_decision {
    packet_action action = packet_action::drop;
    packet_reason reason = packet_reason::none;
    /// The header to send the packet on with; set for `forward`.
    std::optional<packet_header> next;

    friend bool operator==(const packet_decision&, const packet_decision&) = default;
};

} // namespace ibisdyke::routing
