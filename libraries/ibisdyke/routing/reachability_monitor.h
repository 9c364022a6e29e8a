#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/ids.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/routing/chain.h"
#include "ibisdyke/routing/routing_table.h"
#include "ibisdyke/routing/unreachable_set.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace ibisdyke::routing {

/// Detects the upstreams whose agents a balancer cannot reach, so that it sends no new flows there. This happens when a
/// VM has crashed and its lease has not expired yet, or when the network between balancer and agent is cut while both
/// still reach the control group. Sends no probes in normal operation: only the agents that a retransmitted SYN may
/// have gone to are probed.
class reachability_monitor {
public:
    /// Starts to probe members that a retransmitted SYN may have gone to.
    void start_probing(const std::vector<chain_member>& members, core::time_point now);

    /// Records that an upstream's agent has answered, and stops probing it.
    void on_answer(const core::upstream_id& id, core::time_point now);

    /// Records that a member's agent is stopping. It counts as unreachable until its next answer.
    void on_stopping(const chain_member& member, core::time_point now);

    /// Stops probing upstreams that the table does not contain or marks as unreachable.
    void remove_missing(const routing_table& table);

    /// Returns the packet endpoints of the agents to probe now, each once, and schedules their next probes.
    std::vector<core::endpoint> take_due_probes(core::time_point now);

    /// Returns the time at which the next probe is due, or nothing when no agent is probed.
    std::optional<core::time_point> next_probe_at() const;

    /// Returns the upstreams that are stopping or have left several probes unanswered.
    unreachable_set unreachable() const;

private:
    struct probed_agent {
        core::endpoint endpoint;
        std::uint32_t probes_sent = 0;
        core::time_point next_probe;
    };

    std::map<core::upstream_id, probed_agent> probed_agents_;
    /// Time of the last answer of each agent that has answered.
    std::map<core::upstream_id, core::time_point> last_answers_;
};

} // namespace ibisdyke::routing
