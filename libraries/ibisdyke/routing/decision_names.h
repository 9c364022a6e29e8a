#pragma once

#include "ibisdyke/routing/messages.h"
#include "ibisdyke/routing/packet_decision.h"

#include <array>
#include <string_view>

namespace ibisdyke::routing {

/// All values of packet_reason in order, for counters and tests.
inline constexpr std::array packet_reasons{packet_reason::none, packet_reason::foreign, packet_reason::too_many_hops,
    packet_reason::domain_out, packet_reason::unknown_flow, packet_reason::no_capacity, packet_reason::table_full,
    packet_reason::withdrawn, packet_reason::overloaded, packet_reason::yields, packet_reason::lower_priority,
    packet_reason::outdated, packet_reason::answer_limit};

/// The values of overflow_step that are counted.
inline constexpr std::array overflow_steps{overflow_step::offered, overflow_step::taken, overflow_step::returned};

/// Returns the name that logs and counters use for the value, for example "no_capacity".
std::string_view to_string(packet_reason it);
std::string_view to_string(search_phase it);
std::string_view to_string(overflow_step it);

} // namespace ibisdyke::routing
