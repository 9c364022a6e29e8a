#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/ids.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/core/version.h"
#include "ibisdyke/core/version_interval.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibisdyke::membership {

/// The state of an upstream as the replicated state records it.
enum class upstream_state : std::uint8_t {
    /// Announced, not yet accepting work.
    starting,
    /// Takes new flows and requests, within the limits of its agent.
    active,
    /// Keeps its flows and takes no new work.
    draining,
    /// Its lease has ended, but too many upstreams ended at once to believe it; still listed.
    suspect,
    /// Its lease has ended or it has left.
    gone,
};

/// Returns "starting", "active", "draining", "suspect" or "gone".
constexpr std::string_view to_string(upstream_state it)
{
    switch (it) {
    case upstream_state::starting:
        return "starting";
    case upstream_state::active:
        return "active";
    case upstream_state::draining:
        return "draining";
    case upstream_state::suspect:
        return "suspect";
    case upstream_state::gone:
        break;
    }
    return "gone";
}

/// Whether an upstream in this state may take new flows. A suspect one may: with most of a service's leases ended, the
/// control group is more likely cut off than the upstreams dead.
constexpr bool is_eligible(upstream_state it)
{
    return it == upstream_state::active || it == upstream_state::suspect;
}

/// The record of an upstream in the system state.
struct upstream {
    core::upstream_id id;
    core::service_id service;
    /// Name chosen by the upstream's VM, for operators; unique among live upstreams of a service.
    std::string name;
    core::failure_domain domain;
    /// Where the agent takes packets.
    core::endpoint packet_endpoint;
    /// Where the agent takes requests and messages of peers.
    core::endpoint request_endpoint;
    /// The incarnation of the agent. A restarted agent has another one and keeps the upstream id.
    core::incarnation agent;
    /// The incarnation of the upstream itself, or 0 where upstreams do not announce one. What an earlier one held is
    /// lost.
    core::incarnation incarnation{};
    /// Requests that the upstream can serve at the same time.
    std::uint32_t slots = 1;
    upstream_state state = upstream_state::starting;
    /// When the lease ended or the upstream left, for `gone` upstreams.
    std::optional<core::wall_time> gone_at;
    /// When the upstream could take new flows, oldest first; pruned to what open flows can still refer to.
    std::vector<core::version_interval> history;
    /// No open flow of the upstream began at an older version. Never decreases.
    core::version flow_watermark{};
    /// Before this version the history was shortened by merging intervals, so it may also hold versions at which the
    /// upstream could not take new flows.
    core::version exact_since{};

    friend bool operator==(const upstream&, const upstream&) = default;
};

/// What kind of process sends a heartbeat.
enum class process_role : std::uint8_t {
    balancer,
    agent,
};

/// Sent by agents and balancers every 500 ms to a control process.
struct heartbeat {
    process_role sender_role = process_role::agent;
    core::incarnation sender;
    /// Grows by one with each heartbeat of a sender, so that the receiver can tell a late or repeated one.
    std::uint64_t sequence = 0;
    /// Name of the process, for operators.
    std::string name;
    core::failure_domain domain;
    /// The version of the system state that the sender has applied.
    core::version applied;
    /// Where the process takes subscriptions and peer messages.
    core::endpoint peer_endpoint;

    /// The rest is set by agents only.
    std::string service;
    core::endpoint packet_endpoint;
    core::endpoint request_endpoint;
    std::uint32_t slots = 0;
    /// The incarnation of the upstream; 0 when it is not known.
    core::incarnation upstream_incarnation{};
    bool draining = false;
    std::uint64_t open_flows = 0;
    /// A version that no open flow is older than, and no flow that begins or is adopted later; the default version
    /// until the agent knows one.
    core::version flow_watermark;
    /// Encoded usage counters of the accounting slice; empty when nothing changed.
    std::string usage;

    friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

enum class heartbeat_result : std::uint8_t {
    accepted,
    /// The receiver is not the leader and knows no leader. The sender tries another control process.
    no_leader,
    /// The service named does not exist (yet); the sender goes on trying.
    unknown_service,
    /// Another live agent holds the name or the packet endpoint; the sender goes on trying.
    name_taken,
};

/// The answer to a heartbeat.
struct heartbeat_answer {
    heartbeat_result result = heartbeat_result::accepted;
    /// The upstream id of the sender, when it is an agent and its join record is committed.
    std::optional<core::upstream_id> upstream;
    /// The newest version of the system state that the leader has committed.
    core::version latest;
    /// Mean count of open flows over the active upstreams of the sender's service.
    double mean_open_flows = 0;

    friend bool operator==(const heartbeat_answer&, const heartbeat_answer&) = default;
};

} // namespace ibisdyke::membership
