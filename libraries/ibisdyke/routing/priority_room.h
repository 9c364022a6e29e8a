#pragma once

#include "ibisdyke/core/time.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace ibisdyke::routing {

/// The wait of a new flow's first request at its upstream.
struct expected_wait {
    /// Until a slot is free for the request; 0 while a slot is free.
    std::chrono::nanoseconds wait{0};
    /// The longest wait with which the response is still in time.
    std::chrono::nanoseconds max_wait{0};
    /// Until one of the busy slots is free: the wait of the first request in the queue.
    std::chrono::nanoseconds next_slot{0};

    friend bool operator==(const expected_wait&, const expected_wait&) = default;
};

/// Decides whether a new flow leaves the free places in an upstream's queue to flows of routes with a higher priority.
///
/// Answers an overload in which routes of different priorities compete for one upstream: a third of the hosts is gone,
/// or all callers return at once after a loss of power. Flows of the route with the most callers would then fill the
/// queue up to the latency bound, and urgent flows would be refused as often as the others. So each lower priority may
/// wait only two thirds as long as the next higher one, and the rest of the queue is left for urgent flows. A free slot
/// and the first place in the queue may be used by every flow: without a waiting request, a slot would stay idle
/// between the end of one request and the next flow.
///
/// Only priorities of which a flow has arrived recently count. Upstreams whose flows all have the same priority, and
/// routes without traffic, therefore change nothing. Used by one thread.
class priority_room {
public:
    /// A priority counts for this long after its last flow. Long enough for a route that has few callers at each
    /// upstream.
    static constexpr std::chrono::seconds max_age{60};

    /// The rank of all priorities below this one. Limits the work for each flow if routes have many priorities.
    static constexpr std::uint32_t max_rank = 4;

    /// Records that a flow of this priority asks for a place. 0 is the highest priority.
    void record_flow(std::uint32_t priority, core::time_point now);

    /// Returns how many higher priorities have had a flow recently, up to max_rank.
    std::uint32_t rank_of(std::uint32_t priority, core::time_point now) const;

    /// Whether a flow of this priority may wait for a slot.
    bool may_wait(std::uint32_t priority, const expected_wait& expected, core::time_point now) const;

private:
    /// Time of the last flow of each priority, without those older than max_age at the last flow.
    std::map<std::uint32_t, core::time_point> last_flows_;
};

} // namespace ibisdyke::routing
