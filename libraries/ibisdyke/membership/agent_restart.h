#pragma once

namespace ibisdyke::membership {

/// What an agent knows about a restart of itself and of its upstream.
struct agent_restart {
    /// Whether an earlier process of the agent announced the upstream.
    bool process_restarted = false;
    /// Whether the upstream announces another run than the recorded one.
    bool upstream_restarted = false;
    /// Whether the upstream has announced that it stopped.
    bool upstream_has_left = false;
    /// Whether the upstream returns packets of flows that it does not hold.
    bool upstream_returns_packets = false;

    friend bool operator==(const agent_restart&, const agent_restart&) = default;
};

/// Whether the upstream may hold flows that the agent's process does not know. A recorded run that differs from the
/// present one does not show that the upstream restarted while no agent ran: the earlier process reports a new run with
/// its next heartbeat and may have passed flows to it before. An upstream that returns packets shows itself what it
/// holds; for another one, the agent would have to adopt flows that are most likely lost.
constexpr bool may_hold_unknown_flows(const agent_restart& it)
{
    return it.process_restarted && !it.upstream_has_left && (it.upstream_returns_packets || !it.upstream_restarted);
}

} // namespace ibisdyke::membership
