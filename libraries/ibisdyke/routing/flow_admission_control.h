#pragma once

#include "ibisdyke/core/ids.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/routing/agent_snapshot.h"
#include "ibisdyke/routing/failure_detector.h"
#include "ibisdyke/routing/messages.h"
#include "ibisdyke/routing/packet_decision.h"
#include "ibisdyke/routing/packet_info.h"
#include "ibisdyke/routing/pending_requests.h"
#include "ibisdyke/routing/priority_room.h"
#include "ibisdyke/routing/rate_limiter.h"
#include "ibisdyke/routing/recovery_probe.h"
#include "ibisdyke/routing/start_pace.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace ibisdyke::routing {

/// Decides whether an upstream may get a new flow. The decision depends on the upstream's pending requests, its
/// failures, the packets that it has returned, and the limits of admission control. Used by one thread.
class flow_admission_control {
public:
    flow_admission_control();

    /// Returns why the upstream must not get the new flow now, or nothing when it may get the flow. A long queue would
    /// delay every response under overload. A flow is therefore refused as soon as its response would be late, and a
    /// retransmitted SYN is refused while requests wait, so that the slots go to flows that can be served in time.
    /// Flows of a route with a lower priority leave part of the queue to those with a higher one.
    std::optional<packet_reason> refusal_reason(
        const packet_info& packet, const agent_snapshot& agent, std::size_t open_flows, core::time_point now);

    /// Returns why the upstream must not get a new flow that the other candidates have passed back to it, or nothing
    /// when it may get the flow. Under overload many flows pass through its candidates at the same time and come back
    /// to the one that had the least load when they were offered, so its load is checked again.
    std::optional<packet_reason> assignment_refusal_reason(
        const packet_info& packet, const agent_snapshot& agent, std::size_t open_flows, core::time_point now);

    /// Whether to wait for the caller's next retransmission of a refused SYN instead of rejecting the flow. The caller
    /// must have a retransmission left, and an overloaded upstream must have had a free slot recently, so that it may
    /// have one again by then. A rejected caller would retry at once.
    bool should_await_retransmission(const packet_info& packet, packet_reason refused, core::time_point now) const;

    /// Whether the limits allow one more flow regardless of the load. False for a short time after a returned flow.
    bool is_within_limits(const flow_admission_limits& admission, std::size_t open_flows, core::time_point now);

    /// Returns the load of the upstream. A failing upstream has a higher load than any other, unless a recovery probe
    /// is due. Requests beyond the limit of a start count as waiting, so that new flows go to other candidates first.
    upstream_load load(std::size_t active_flows, core::time_point now) const;

    bool is_failing(core::time_point now) const { return failures_.is_failing(now); }

    /// Whether the next new flow may show whether a failing upstream has recovered.
    bool is_probe_due(core::time_point now) const { return probe_.is_due(now); }

    /// Records that the upstream gets the first packet of a new flow.
    void record_new_flow(const flow_key& flow, core::time_point now);

    /// Records that the upstream gets data of a flow.
    void record_request(const flow_key& flow, core::time_point now) { pending_.start(flow, now); }

    /// Records a packet that the upstream has sent to a caller. Its flow key is that of the caller's packets.
    void record_response(const packet_info& response, core::time_point now);

    /// Records that the upstream has returned a packet because it neither holds nor accepts the packet's flow.
    void record_returned_packet(const packet_info& packet, core::time_point now);

    /// Records overdue requests as failures and removes expired ones.
    void maintain(const agent_snapshot& agent, core::time_point now);

    /// Whether a slot is free but the next flow would exceed the limit of a start.
    bool is_start_limited(core::time_point now) const;

    /// Returns the limit of the requests in progress, or nothing when the upstream is not starting.
    std::optional<std::uint32_t> start_limit() const { return pace_.limit(); }

    /// Returns the starts that have begun or ended since the last call.
    std::vector<start_event> take_start_events() { return pace_.take_events(); }

private:
    std::chrono::nanoseconds expected_response_time(core::milliseconds latency_target) const;
    std::optional<packet_reason> latency_refusal(const flow_route& route, core::time_point now) const;
    void update_upstream(const agent_snapshot& agent, core::time_point now);
    void record_failure(core::time_point now);
    void record_answer(const flow_key& flow, std::chrono::nanoseconds service_time, core::time_point now);

    pending_requests pending_;
    priority_room priorities_;
    failure_detector failures_;
    start_pace pace_;
    recovery_probe probe_;
    /// The incarnation of the upstream to which failures_ belongs.
    core::incarnation upstream_;
    /// The upstream gets no new flows until this time, because it has returned one.
    core::time_point refuses_new_flows_until_{};
    rate_limiter new_flow_limiter_;
};

} // namespace ibisdyke::routing
