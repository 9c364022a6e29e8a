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

namespace ibisdyke::routing {

/// Bounds the rejections that callers are told of, because a flood with forged source addresses would turn each agent
/// into a source of resets towards others. Packets that may begin a flow and packets within flows are counted apart, so
/// that a flood of the former does not keep the latter from their answers.
struct answer_limits {
    /// More than the flows of one host (about 2,000) over the 3 s in which a failure domain ends its service.
    double per_second = 1000;
    double burst = 1000;

    friend bool operator==(const answer_limits&, const answer_limits&) = default;
};

/// The packet decisions of one agent, with its flow table. Used by one thread.
class flow_agent {
public:
    /// `extensions_per_second` limits the searches that go on to members outside the balancer's chain.
    flow_agent(const flow_limits& limits, double extensions_per_second, const answer_limits& answers);

    /// Decides about one packet and records it.
    packet_decision decide(
        const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now);

    /// Decides about a packet that the upstream has returned because it neither holds nor takes its flow. `header` is
    /// the one that the packet was handed over with.
    packet_decision decide_returned(
        const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now);

    /// Returns a header for a packet of which none is known, by the agent's own table: as if a balancer with that table
    /// had sent the packet to this agent. Nothing when the table has no route for it.
    static std::optional<packet_header> make_header(const packet_info& packet, const agent_snapshot& agent);

    /// Notes a packet of the upstream to a caller; its flow is the caller's.
    void note_answer(const packet_info& answer, core::time_point now);

    /// Forgets flows that have been idle for too long, and all flows when the failure domain is out: they are
    /// abandoned.
    void maintain(const agent_snapshot& agent, core::time_point now);

    /// Removes what is known of a flow.
    void forget(const flow_key& flow) { flows_.erase(flow); }

    /// Returns what the upstream has to do; a failing one counts as having more to do than any other.
    upstream_load load(core::time_point now) const { return admission_.load(flows_.active_flows(), now); }

    /// Whether new flows are spared the upstream because it fails its requests.
    bool is_failing(core::time_point now) const { return admission_.is_failing(now); }

    /// Returns a version that no open flow is older than, and no flow will be that begins from now on: flows are placed
    /// by tables that are up to table_lag old. After a restart, and for table_lag after the recovery window, it is the
    /// oldest version at which a flow that is yet to be adopted can have begun.
    core::version watermark(const agent_snapshot& agent, core::time_point now) const;

    const flow_table& flows() const { return flows_; }

private:
    packet_decision limit_answer(packet_decision decision, const packet_info& packet, core::time_point now);
    packet_decision decide_unlimited(
        const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now);
    std::optional<packet_decision> follow(
        const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now);
    packet_decision search(
        const packet_info& packet, packet_header header, const agent_snapshot& agent, core::time_point now);
    packet_decision finish_search(
        const packet_info& packet, packet_header header, const agent_snapshot& agent, core::time_point now);
    static bool search_next_service(const packet_info& packet, packet_header& header, const agent_snapshot& agent);
    packet_decision place_returned(
        const packet_info& packet, packet_header header, const agent_snapshot& agent, core::time_point now);
    static packet_decision misdirected(
        const packet_info& packet, const packet_header& header, const agent_snapshot& agent);
    packet_decision unknown(const packet_info& packet, core::time_point now);
    packet_decision place(
        const packet_info& packet, packet_header header, const agent_snapshot& agent, core::time_point now);
    packet_decision assign(
        const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now);
    packet_decision pass_along(const packet_info& packet, packet_header header, std::uint32_t position,
        search_phase phase, core::time_point now);
    packet_decision search_again(
        const packet_info& packet, packet_header header, const agent_snapshot& agent, core::time_point now);
    bool is_outdated(const packet_header& header, const agent_snapshot& agent) const;
    packet_decision take(
        const packet_info& packet, const packet_header& header, const agent_snapshot& agent, core::time_point now);
    bool extend(const packet_info& packet, packet_header& header, const agent_snapshot& agent, core::time_point now);

    flow_table flows_;
    flow_admission_control admission_;
    table_history tables_;
    failed_searches failed_searches_;
    rate_limiter extensions_;
    /// For packets that may begin a flow, and for others.
    rate_limiter new_answers_;
    rate_limiter open_answers_;
};

} // namespace ibisdyke::routing
