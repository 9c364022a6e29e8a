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

/// The state of an upstream in the replicated state.
enum class upstream_state : std::uint8_t {
    /// Announced, but not accepting work yet.
    starting,
    /// Accepts new flows and requests, within the limits of its agent.
    active,
    /// Keeps its open flows and accepts no new work.
    draining,
    /// Its lease has expired, but the mass-expiry limit of its service keeps it from being removed.
    suspect,
    /// Its lease has expired, or it has left after a drain.
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

/// Whether an upstream in this state may accept new flows. A suspect upstream may: when most leases of a service expire
/// at once, the control group is more likely to be cut off from the upstreams than the upstreams are to be dead.
constexpr bool is_eligible(upstream_state it)
{
    return it == upstream_state::active || it == upstream_state::suspect;
}

/// An upstream as recorded in the system state.
struct upstream {
    core::upstream_id id;
    core::service_id service;
    /// Chosen by the upstream's VM, for operators. Unique among the live upstreams of a service.
    std::string name;
    core::failure_domain domain;
    /// Where the agent receives packets.
    core::endpoint packet_endpoint;
    /// Where the agent receives requests and messages of peers.
    core::endpoint request_endpoint;
    /// The incarnation of the agent. A restarted agent has a new incarnation and keeps the upstream id.
    core::incarnation agent;
    /// The incarnation of the upstream itself, or 0 if the upstream does not announce an incarnation. What an earlier
    /// incarnation held, such as its flows, is lost.
    core::incarnation incarnation{};
    /// The number of requests that the upstream can serve at the same time.
    std::uint32_t slots = 1;
    upstream_state state = upstream_state::starting;
    /// When the lease expired or the upstream left. Set only in state `gone`.
    std::optional<core::wall_time> gone_at;
    /// The version intervals in which the upstream was eligible for new flows, oldest first. Intervals that end at or
    /// before the flow watermark are pruned, because no open flow began in them.
    std::vector<core::version_interval> history;
    /// Every open flow of the upstream began at this version or a newer one. Never decreases.
    core::version flow_watermark{};
    /// The history is exact from this version on. Older intervals were merged to bound its length, so they may include
    /// versions at which the upstream was not eligible.
    core::version history_exact_since{};
    /// Whether `agent` has replaced an earlier process of the agent.
    bool agent_replaced = false;
    /// The version at which the agent or the incarnation last changed, or the upstream last became gone or came back.
    core::version identity_since{};

    friend bool operator==(const upstream&, const upstream&) = default;
};

/// Whether another process of the agent than the one with this incarnation has announced the upstream before.
constexpr bool was_announced_earlier(const upstream& it, const core::incarnation& agent)
{
    return it.agent != agent || it.agent_replaced;
}

/// The kind of process that sends a heartbeat.
enum class process_role : std::uint8_t {
    balancer,
    agent,
};

/// Sent by agents and balancers every 500 ms to a control process.
struct heartbeat {
    process_role sender_role = process_role::agent;
    core::incarnation sender;
    /// Sequence number, incremented with each heartbeat of a sender. The receiver uses it to detect late and repeated
    /// heartbeats.
    std::uint64_t sequence = 0;
    /// The name of the process, for operators.
    std::string name;
    core::failure_domain domain;
    /// The version of the system state that the sender has applied.
    core::version applied;
    /// Where the process receives subscriptions and messages of peers.
    core::endpoint peer_endpoint;

    /// The remaining fields are set only by agents.
    std::string service;
    core::endpoint packet_endpoint;
    core::endpoint request_endpoint;
    std::uint32_t slots = 0;
    /// The incarnation of the upstream, or 0 if the agent does not know it.
    core::incarnation upstream_incarnation{};
    bool draining = false;
    /// Whether the upstream has announced that it stopped. Its record is then removed without waiting for the lease to
    /// end.
    bool departed = false;
    std::uint64_t open_flows = 0;
    /// Every open flow, and every flow that the agent opens or adopts later, began at this version or a newer one. The
    /// default version until the agent has computed a watermark.
    core::version flow_watermark;
    /// Encoded usage counters of the accounting slice. Empty if they did not change.
    std::string usage;

    friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

enum class heartbeat_result : std::uint8_t {
    accepted,
    /// The receiver is not the leader, and it knows no leader, gets no answer from the leader, or has too many senders.
    /// The sender tries another control process.
    no_leader,
    /// The service of the sender does not exist, or not yet. The sender keeps trying.
    unknown_service,
    /// Another live process uses the name or the packet endpoint, or has replaced the sender, or the heartbeat
    /// contradicts a record that the sender has not applied yet. The sender keeps trying.
    name_taken,
};

/// The answer to a heartbeat.
struct heartbeat_answer {
    heartbeat_result result = heartbeat_result::accepted;
    /// The upstream id of the sender, if it is an agent whose join is committed.
    std::optional<core::upstream_id> upstream;
    /// The newest version of the system state that the answering process has applied.
    core::version latest;
    /// Mean number of open flows of the live agents of the sender's service that are not draining.
    double mean_open_flows = 0;

    friend bool operator==(const heartbeat_answer&, const heartbeat_answer&) = default;
};

} // namespace ibisdyke::membership
