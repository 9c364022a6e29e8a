#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/routing/flow_key.h"

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

namespace ibisdyke::routing {

/// The flows for which a search of all members failed recently. Used by one thread.
///
/// If neither the balancer nor the agent has applied the change that added a member, a search does not reach the flows
/// of this member. Rejecting such a flow at once would break it, so a flow is rejected only after a second failed
/// search, by which time all processes have applied the change. Callers retransmit in the meantime.
class failed_searches {
public:
    /// Minimum time between the two failed searches. All processes apply a change within 1 s at the present size.
    static constexpr core::milliseconds confirmation_delay{2'000};
    /// A failure this long after the previous one counts as a first failure again. Callers retransmit sooner, so the
    /// two failures belong to different changes.
    static constexpr core::milliseconds max_failure_gap{10'000};
    /// Time after its insertion at which an entry is removed. An older failure says nothing about the present members.
    static constexpr core::milliseconds max_age{60'000};
    static constexpr std::size_t max_entries = 4096;

    /// Records that a search for the flow failed. Returns whether the flow may be rejected.
    bool record_failure(const flow_key& flow, core::time_point now);

    std::size_t size() const { return failures_.size(); }

private:
    struct failure_times {
        core::time_point first;
        core::time_point last;
    };

    void expire(core::time_point now);

    std::unordered_map<flow_key, failure_times> failures_;
    std::deque<std::pair<core::time_point, flow_key>> insertion_order_;
};

} // namespace ibisdyke::routing
