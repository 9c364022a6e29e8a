#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/routing/flow_key.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

namespace ibisdyke::routing {

/// The flows on which an upstream owes an answer: the work that it has. Known only where the upstream's answers pass its
/// agent. Used by one thread.
class pending_requests {
public:
    /// A request without an answer counts for this long: its caller may have gone, or its answer may have been lost.
    static constexpr std::chrono::seconds memory{2};

    /// The caller has opened the flow or sent data on it.
    void begin(const flow_key& flow, core::time_point now);

    /// The upstream has sent data on the flow, or the flow has ended.
    void end(const flow_key& flow) { since_.erase(flow); }

    void expire(core::time_point now);

    std::size_t size() const { return since_.size(); }

private:
    std::unordered_map<flow_key, core::time_point> since_;
    std::deque<std::pair<core::time_point, flow_key>> order_;
};

} // namespace ibisdyke::routing
