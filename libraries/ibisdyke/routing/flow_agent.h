#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/core/version.h"
#include "ibisdyke/routing/agent_facts.h"
#include "ibisdyke/routing/failure_detector.h"
#include "ibisdyke/routing/flow_table.h"
#include "ibisdyke/routing/messages.h"
#include "ibisdyke/routing/packet_facts.h"
#include "ibisdyke/routing/pending_requests.h"
#include "ibisdyke/routing/rate_limiter.h"
#include "ibisdyke/routing/unknown_flows.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace ibisdyke::routing {

enum class packet_action : std::uint8_t {
    /// Hand the packet of a known flow to the upstream.
    deliver,
    /// The flow begins here; hand the packet to the upstream.
    place,
    /// The flow was lost in a restart and continues here; hand the packet to the upstream.
    adopt,
    /// Send the packet to another agent.
    forward,
    /// Tell the caller that there is no such flow.
    reject,
    drop,
};

enum class packet_reason : std::uint8_t {
    none,
    /// The header names another upstream or service, or the packet is addressed to another service.
    foreign,
    /// The packet has visited max_hops agents.
    too_many_hops,
    domain_out,
    /// No member knows the flow, and the packet cannot begin one.
    unknown_flow,
    /// No candidate may take a new flow now.
    no_capacity,
    /// The flow table is full of established flows.
    table_full,
    /// Operators have removed the route of the flow's destination.
    withdrawn,
    /// No candidate would answer within the route's latency target.
    overloaded,
    /// All candidates are busy, and flows that have waited less go first. The caller sends the packet again.
    yields,
    /// The packet would be rejected, but answers are being sent at their highest rate.
    answer_limit,
};

/// Bounds the rejections that callers are told of, because a flood with forged source addresses would turn each agent
/// into a source of resets towards others. Packets that may begin a flow and packets within flows are counted apart, so
/// that a flood of the former does not keep the latter from their answers.
struct answer_limits {
    /// More than the flows of one host (about 2,000) over the 3 s in which a failure domain ends its service.
    double per_second = 1000;
    double burst = 1000;

    friend bool operator==(const answer_limits&, const answer_limits&) = default;
};

/// What becomes of a packet at an agent.
struct packet_decision {
    packet_action action = packet_action::drop;
    packet_reason reason = packet_reason::none;
    /// The header to send the packet on with; set for `forward`.
    std::optional<packet_header> next;

    friend bool operator==(const packet_decision&, const packet_decision&) = default;
};

/// The packet decisions of one agent, with its flow table. Used by one thread.
class flow_agent {
public:
    /// `extensions_per_second` limits the searches that go on to members outside the balancer's chain.
    flow_agent(const flow_limits& limits, double extensions_per_second, const answer_limits& answers);

    /// Decides about one packet and records it.
    packet_decision decide(
        const packet_facts& packet, const packet_header& header, const agent_facts& facts, core::time_point now);

    /// Decides about a packet that the upstream has returned because it neither holds nor takes its flow. `header` is
    /// the one that the packet was handed over with.
    packet_decision decide_disowned(
        const packet_facts& packet, const packet_header& header, const agent_facts& facts, core::time_point now);

    /// Returns a header for a packet of which none is known, by the agent's own table: as if a balancer with that table
    /// had sent the packet to this agent. Nothing when the table has no route for it.
    static std::optional<packet_header> make_header(const packet_facts& packet, const agent_facts& facts);

    /// Notes a packet of the upstream to a caller; its flow is the caller's.
    void note_answer(const packet_facts& answer, core::time_point now);

    /// Forgets flows that have been idle for too long, and all flows when the failure domain is out: they are
    /// abandoned.
    void maintain(const agent_facts& facts, core::time_point now);

    /// Removes what is known of a flow.
    void forget(const flow_key& flow) { flows_.erase(flow); }

    /// Returns what the upstream has to do; a failing one counts as having more to do than any other.
    upstream_load load(core::time_point now) const;

    /// Whether new flows are spared the upstream because it fails its requests.
    bool is_failing(core::time_point now) const { return failures_.is_failing(now); }

    /// Returns a version that no open flow is older than, and no flow will be that begins from now on: flows are placed
    /// by tables that are up to table_lag old. After a restart, and for table_lag after the recovery window, it is the
    /// oldest version at which a flow that is yet to be adopted can have begun.
    core::version watermark(const agent_facts& facts, core::time_point now) const;

    const flow_table& flows() const { return flows_; }

private:
    packet_decision limit_answer(packet_decision decision, const packet_facts& packet, core::time_point now);
    packet_decision decide_unlimited(
        const packet_facts& packet, const packet_header& header, const agent_facts& facts, core::time_point now);
    std::optional<packet_decision> follow(
        const packet_facts& packet, const packet_header& header, const agent_facts& facts, core::time_point now);
    packet_decision search(
        const packet_facts& packet, packet_header header, const agent_facts& facts, core::time_point now);
    packet_decision finish_search(
        const packet_facts& packet, packet_header header, const agent_facts& facts, core::time_point now);
    static bool search_next_service(const packet_facts& packet, packet_header& header, const agent_facts& facts);
    std::optional<packet_reason> refusal(const packet_facts& packet, const agent_facts& facts, core::time_point now);
    bool may_come_again(const packet_facts& packet, packet_reason refused, core::time_point now) const;
    packet_decision place_disowned(
        const packet_facts& packet, packet_header header, const agent_facts& facts, core::time_point now);
    static packet_decision misdirected(
        const packet_facts& packet, const packet_header& header, const agent_facts& facts);
    packet_decision unknown(const packet_facts& packet, core::time_point now);
    void note_version(const core::version& seen, const agent_facts& facts, core::time_point now);
    bool lacks_change(const packet_header& header, const agent_facts& facts, core::time_point now) const;
    packet_decision place(
        const packet_facts& packet, packet_header header, const agent_facts& facts, core::time_point now);
    packet_decision assign(
        const packet_facts& packet, const packet_header& header, const agent_facts& facts, core::time_point now);
    packet_decision pass_along(const packet_facts& packet, packet_header header, std::uint32_t position,
        search_phase phase, core::time_point now);
    packet_decision search_again(
        const packet_facts& packet, packet_header header, const agent_facts& facts, core::time_point now);
    bool is_outdated(const packet_header& header, const agent_facts& facts) const;
    packet_decision take(
        const packet_facts& packet, const packet_header& header, const agent_facts& facts, core::time_point now);
    bool extend(const packet_facts& packet, packet_header& header, const agent_facts& facts, core::time_point now);
    bool admits(const flow_admission& admission, core::time_point now);

    /// How long an upstream that has returned a SYN is not offered another one.
    static constexpr core::milliseconds refusal_pause{50};

    /// How long flows are placed by a table after this agent has replaced it, and how long an agent that lacks a change
    /// waits for it. The watermark lags behind by as much.
    static constexpr std::chrono::seconds table_lag{10};

    flow_table flows_;
    pending_requests pending_;
    failure_detector failures_;
    /// The run of the upstream that failures_ is about.
    core::incarnation upstream_;
    unknown_flows unknown_;
    /// The newest version in a header, and since when it has been newer than the applied one.
    core::version newest_seen_;
    std::optional<core::time_point> behind_since_;
    /// Versions that were applied within table_lag, with their times, and the newest one before.
    std::deque<std::pair<core::time_point, core::version>> applied_;
    /// The upstream takes no new flow until then: it has returned one.
    core::time_point refuses_until_{};
    rate_limiter new_flows_;
    rate_limiter extensions_;
    /// For packets that may begin a flow, and for others.
    rate_limiter new_answers_;
    rate_limiter open_answers_;
};

} // namespace ibisdyke::routing
