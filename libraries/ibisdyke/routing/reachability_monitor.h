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

/// Finds the upstreams whose agents a balancer cannot reach: their VM has crashed and its lease has not ended yet, or
/// the network between the two is cut and control still sees both. New flows would be lost there. It costs nothing
/// while all is well: only the agents of a SYN that its caller has sent again are probed.
class reachability_monitor {
public:
    /// Notes members that a repeated SYN may have gone to.
    void suspect(const std::vector<chain_member>& members, core::time_point now);

    /// Notes a sign of life of an upstream's agent.
    void note_answer(const core::upstream_id& id, core::time_point now);

    /// Notes that a member's agent stops: it is unreachable until it answers.
    void note_stop(const chain_member& member, core::time_point now);

    /// Forgets upstreams that the table no longer names.
    void keep_only(const routing_table& table);

    /// Returns the packet endpoints of the agents to probe now, each once.
    std::vector<core::endpoint> take_due(core::time_point now);

    /// Returns when the next probe is due.
    std::optional<core::time_point> next_due() const;

    /// Returns the upstreams that have not answered several probes.
    unreachable_set unreachable() const;

private:
    struct watched {
        core::endpoint endpoint;
        std::uint32_t probes_sent = 0;
        core::time_point next_probe;
    };

    std::map<core::upstream_id, watched> watched_;
    std::map<core::upstream_id, core::time_point> answered_;
};

} // namespace ibisdyke::routing
