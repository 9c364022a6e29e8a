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

#include <cstddef>
#include <optional>

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

    /// Whether to wait for the caller's next retransmission of a refused SYN instead of rejecting the flow. The caller
    /// must have a retransmission left, and an overloaded upstream must have had a free slot recently, so that it may
    /// have one again by then. A rejected caller would retry at once.
    bool should_await_retransmission(const packet_info& packet, packet_reason refused, core::time_point now) const;

    /// Whether the limits allow one more flow regardless of the load. False for a short time after a returned flow.
    bool is_within_limits(const flow_admission_limits& admission, std::size_t open_flows, core::time_point now);

    /// Returns the load of the upstream. A failing upstream has a higher load than any other.
    upstream_load load(std::size_t active_flows, core::time_point now) const;

    bool is_failing(core::time_point now) const { return failures_.is_failing(now); }

    /// Records that the upstream gets the first packet of a new flow.
    void record_new_flow(const flow_key& flow, core::time_point now);

    /// Records that the upstream gets data of a flow.
    void record_request(const flow_key& flow, core::time_point now) { pending_.start(flow, now); }

    /// Records a packet that the upstream has sent to a caller. Its flow key is that of the caller's packets.
    void record_response(const packet_info& response, core::time_point now);

    /// Records that the upstream has returned a packet because it neither holds nor accepts the packet's flow.
    void record_returned_packet(const packet_info& packet, core::time_point now);

    /// Records overdue requests as failures and removes expired ones. `upstream` is the incarnation announced last.
    void maintain(core::incarnation upstream, core::time_point now);

private:
    std::optional<packet_reason> latency_refusal(
        const flow_route& route, std::uint32_t slots, core::time_point now) const;

    pending_requests pending_;
    priority_room priorities_;
    failure_detector failures_;
    /// The incarnation of the upstream to which failures_ belongs.
    core::incarnation upstream_;
    /// The upstream gets no new flows until this time, because it has returned one.
    core::time_point refuses_new_flows_until_{};
    rate_limiter new_flow_limiter_;
};

} // namespace ibisdyke::routing
