#pragma once

#include "ibisdyke/routing/messages.h"
#include "ibisdyke/routing/packet_decision.h"

#include <cstdint>
#include <optional>
#include <utility>

/// Constructors of the decisions that flow_agent makes in several places.
namespace ibisdyke::routing::detail {

inline packet_decision rejected(packet_reason reason)
{
    return {packet_action::reject, reason, std::nullopt};
}

inline packet_decision dropped(packet_reason reason)
{
    return {packet_action::drop, reason, std::nullopt};
}

/// Sends the packet to the agent at the position in the header's chain.
inline packet_decision forwarded(packet_header header, std::uint32_t position)
{
    header.position = position;
    ++header.hops;
    return {packet_action::forward, packet_reason::none, std::move(header)};
}

} // namespace ibisdyke::routing::detail
