#pragma once

#include "ibisdyke/core/ids.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/routing/agent_snapshot.h"
#include "ibisdyke/routing/failure_detector.h"
#include "ibisdyke/routing/messages.h"
#include "ibisdyke/routing/packet_decision.h"
#include "ibisdyke/routing/packet_info.h"
#include "ibisdyke/routing/pending_requests.h"
#include "ibisdyke/routing/rate_limiter.h"

#include <cstddef>
#include <optional>

namespace ibisdyke::routing {

/// Decides whether an upstream may get a new flow now: from its work, its failures, the flows that it has returned, and
/// the limits of admission control. Used by one thread.
class flow_admission_control {
public:
    flow_admission_control();

    /// Returns why the upstream does not take the new flow now, or nothing when it may. Under more load than the
    /// upstreams bear, a long queue makes every answer late: flows are refused as soon as their answers would be, and
    /// flows that have waited already leave the slots to those that can still be answered in time.
    std::optional<packet_reason> refusal(
        const packet_info& packet, const agent_snapshot& agent, std::size_t open_flows, core::time_point now);

    /// Whether the caller is to come again with the next copy of its SYN instead of being refused: it has one left, and
    /// the upstream had a free slot so lately that it may have one again by then. A caller that is refused tries again
    /// at once.
    bool may_come_again(const packet_info& packet, packet_reason refused, core::time_point now) const;

    /// Whether the upstream may take one more flow under the limits alone.
    bool admits(const flow_admission_limits& admission, std::size_t open_flows, core::time_point now);

    /// Returns what the upstream has to do; a failing one counts as having more to do than any other.
    upstream_load load(std::size_t active_flows, core::time_point now) const;

    bool is_failing(core::time_point now) const { return failures_.is_failing(now); }

    /// The upstream gets the SYN of a new flow.
    void note_placed(const flow_key& flow, core::time_point now);

    /// The upstream gets data of a flow.
    void note_request(const flow_key& flow, core::time_point now) { pending_.begin(flow, now); }

    /// The upstream has sent a packet to a caller; its flow is the caller's.
    void note_answer(const packet_info& answer, core::time_point now);

    /// The upstream has returned a packet because it neither holds nor takes its flow.
    void note_returned(const packet_info& packet, core::time_point now);

    /// `upstream` is the incarnation that announced itself last.
    void maintain(core::incarnation upstream, core::time_point now);

private:
    pending_requests pending_;
    failure_detector failures_;
    /// The run of the upstream that failures_ is about.
    core::incarnation upstream_;
    /// The upstream takes no new flow until then: it has returned one.
    core::time_point refuses_until_{};
    rate_limiter new_flows_;
};

} // namespace ibisdyke::routing
