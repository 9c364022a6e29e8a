#pragma once

#include "ibisdyke/core/time.h"
#include "measure/flows/flow_packet.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace ibisdyke::measure {

enum class flow_state : std::uint8_t {
    opening,
    established,
    closing,
};

/// One flow as its caller sees it.
struct flow {
    flow_key key;
    std::size_t service = 0;
    flow_state state = flow_state::opening;
    /// The upstream that accepted the flow.
    std::string upstream;
    std::uint32_t cookie = 0;
    std::uint32_t sequence = 0;
    /// Whether the last packet sent has no answer yet.
    bool unanswered = false;
    core::milliseconds retransmit_after{0};
    core::time_point next_action;
    core::time_point opened_at;
    core::time_point last_answer;
    core::time_point close_at;

    friend bool operator==(const flow&, const flow&) = default;
};

/// A flow that ended before its caller closed it.
struct broken_flow {
    std::string service;
    std::string upstream;
    core::time_point opened_at;
    core::time_point ended_at;
    std::string reason;

    friend bool operator==(const broken_flow&, const broken_flow&) = default;
};

} // namespace ibisdyke::measure
