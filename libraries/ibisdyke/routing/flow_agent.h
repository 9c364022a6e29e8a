#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/core/version.h"
#include "ibisdyke/routing/agent_snapshot.h"
#include "ibisdyke/routing/failed_searches.h"
#include "ibisdyke/routing/flow_admission_control.h"
#include "ibisdyke/routing/flow_table.h"
#include "ibisdyke/routing/messages.h"
#include "ibisdyke/routing/packet_decision.h"
#include "ibisdyke/routing/packet_info.h"
#include "ibisdyke/routing/rate_limiter.h"
#include "ibisdyke/routing/table_history.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ibisdyke::routing {

/// Limits the rate of rejections. Without a limit, a flood of packets with forged source addresses would make each
/// agent send resets to the owners of these addresses. Packets that may begin a flow and packets within flows have
/// separate limits, so that a flood of new flows does not suppress the rejections of open flows.
struct rejection_limits {
    /// Enough to reject all flows of a host (about 2,000) within the 3 s in which a failure domain goes out of service.
    double per_second = 1000;
    double burst = 1000;

    friend bool operator==(const rejection_limits&, const rejection_limits&) = default;
};

/// The packet decisions of one agent, with its flow table. Used by one thread.
class flow_agent {
public:
    /// `extensions_per_second` limits the searches that are extended to members outside the balancer's chain.
    flow_agent(const flow_limits& limits, double extensions_per_second, const rejection_limits& rejections);

    /// Decides about a packet and updates the flow table.
    packet_decision decide(
        const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now);

    /// Decides about a packet that the upstream has returned because it neither holds nor accepts the packet's flow.
    /// `header` is the header with which the packet was delivered.
    packet_decision decide_returned(
        const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now);

    /// Returns a header for a packet whose header is unknown, as if a balancer with the agent's table had sent the
    /// packet to this agent. Returns nothing when the table does not contain the agent.
    static std::optional<packet_header> make_header(const packet_info& packet, const agent_snapshot& agent);

    /// Records a packet from the upstream to a caller. Its flow key is that of the caller's packets.
    void record_response(const packet_info& response, core::time_point now);

    /// Removes idle flows, and all flows while the failure domain is out of service. Also updates admission control and
    /// the table history.
    void maintain(const agent_snapshot& agent, core::time_point now);

    /// Removes the flow's entry.
    void forget(const flow_key& flow) { flows_.erase(flow); }

    /// Returns the load of the upstream. A failing upstream has a higher load than any other.
    upstream_load load(core::time_point now) const { return admission_.load(flows_.active_flows(), now); }

    /// Whether new flows should avoid the upstream because its requests fail.
    bool is_failing(core::time_point now) const { return admission_.is_failing(now); }

    /// Whether the next new flow may show whether a failing upstream has recovered.
    bool is_probe_due(core::time_point now) const { return admission_.is_probe_due(now); }

    /// Whether new flows go to other candidates only because the upstream has just started.
    bool is_start_limited(core::time_point now) const { return admission_.is_start_limited(now); }

    /// Returns the limit of the requests in progress, or nothing when the upstream is not starting.
    std::optional<std::uint32_t> start_limit() const { return admission_.start_limit(); }

    /// Returns the starts that have begun or ended since the last call.
    std::vector<start_event> take_start_events() { return admission_.take_start_events(); }

    /// Returns a lower bound for the versions at which the open and all future flows began. Flows may be placed with
    /// tables that were replaced up to max_table_lag ago. After a restart, until max_table_lag after the recovery
    /// window, flows that are still to be adopted count as well.
    core::version watermark(const agent_snapshot& agent, core::time_point now) const;

    const flow_table& flows() const { return flows_; }

private:
    packet_decision limit_rejections(packet_decision decision, const packet_info& packet, core::time_point now);
    packet_decision decide_without_limit(
        const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now);
    std::optional<packet_decision> handle_known_flow(
        const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now);
    std::optional<header_member> forget_unanswered_redirect(const packet_info& packet, core::time_point now);
    packet_decision search(
        const packet_info& packet, packet_header header, const agent_snapshot& agent, core::time_point now);
    packet_decision end_search(
        const packet_info& packet, packet_header header, const agent_snapshot& agent, core::time_point now);
    static bool search_next_service(const packet_info& packet, packet_header& header, const agent_snapshot& agent);
    packet_decision place_returned(
        const packet_info& packet, packet_header header, const agent_snapshot& agent, core::time_point now);
    static packet_decision handle_misdirected_packet(
        const packet_info& packet, const packet_header& header, const agent_snapshot& agent);
    packet_decision handle_unknown_flow(const packet_info& packet, core::time_point now);
    packet_decision place(
        const packet_info& packet, packet_header header, const agent_snapshot& agent, core::time_point now);
    std::optional<packet_decision> leave_service(const packet_info& packet, const packet_header& header,
        const agent_snapshot& agent, const std::optional<upstream_load>& own,
        const std::optional<packet_reason>& refusal, core::time_point now);
    packet_decision assign(
        const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now);
    std::optional<packet_reason> assignment_refusal(
        const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now);
    packet_decision refuse_new_flow(
        const packet_info& packet, const packet_header& header, packet_reason reason, core::time_point now) const;
    packet_decision forward_new_flow(const packet_info& packet, packet_header header, std::uint32_t position,
        search_phase phase, core::time_point now);
    packet_decision search_own_chain(
        const packet_info& packet, packet_header header, const agent_snapshot& agent, core::time_point now);
    bool uses_outdated_table(const packet_header& header, const agent_snapshot& agent) const;
    packet_decision begin_flow(
        const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now);
    bool extend_search(
        const packet_info& packet, packet_header& header, const agent_snapshot& agent, core::time_point now);

    flow_table flows_;
    flow_admission_control admission_;
    table_history table_history_;
    failed_searches failed_searches_;
    rate_limiter search_extensions_;
    /// Rejections of packets that may begin a flow, and of all other packets.
    rate_limiter new_flow_rejections_;
    rate_limiter open_flow_rejections_;
};

} // namespace ibisdyke::routing
