#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/routing/flow_key.h"

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

namespace ibisdyke::routing {

/// The flows that no member knew lately. Used by one thread.
///
/// A balancer and an agent that both lack the newest change search for a flow everywhere but at the member that just
/// joined and holds it. Rejecting the flow at once would break it, so a flow is rejected only when a second search
/// finds nothing either, after every process had the time to apply the change. Callers retransmit meanwhile.
class failed_searches {
public:
    /// Time between the two searches. A change is in effect everywhere within 1 s at today's sizes.
    static constexpr core::milliseconds confirmation{2'000};
    /// Misses further apart than this belong to different changes; callers retransmit sooner. The later one counts as
    /// the first.
    static constexpr core::milliseconds max_gap{10'000};
    /// Entries older than this say nothing about the present.
    static constexpr core::milliseconds memory{60'000};
    static constexpr std::size_t max_entries = 4096;

    /// Notes that a search for the flow found nothing. Returns whether the flow may be rejected.
    bool record_failure(const flow_key& flow, core::time_point now);

    std::size_t size() const { return missed_.size(); }

private:
    struct misses {
        core::time_point first;
        core::time_point last;
    };

    void expire(core::time_point now);

    std::unordered_map<flow_key, misses> missed_;
    std::deque<std::pair<core::time_point, flow_key>> order_;
};

} // namespace ibisdyke::routing
