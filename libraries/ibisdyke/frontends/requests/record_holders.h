#pragma once

#include "ibisdyke/dissemination/system_state.h"
#include "ibisdyke/routing/routing_table.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace ibisdyke::frontends {

/// Tracks which agents of a service may hold the record of a key, as seen by one agent. Must be given each system
/// state, because the state does not contain the times at which failure domains went out or upstreams began to drain.
class record_holders {
public:
    record_holders(const core::upstream_id& self, const core::service_id& service)
        : self_(self)
        , service_(service)
    {
    }

    /// Adds a new table. If both the table and the state are new, call this before update().
    void add_routes(std::shared_ptr<const routing::routing_table> routes);

    /// Applies a new system state.
    void update(const dissemination::system_state& state, core::wall_time now);

    /// Returns the endpoints at which to look up a key: the candidates of its chain or, if there is no chain or the
    /// members may have changed since the first send, all other members of the service. In the second case, members
    /// that had drained before the first send are left out.
    std::vector<core::endpoint> peers_to_ask(
        const routing::chain* chain, std::optional<core::wall_time> first_sent) const;

    /// Returns the number of departed members that may have taken part in running a key first sent at `first_sent`.
    std::size_t count_departed(core::wall_time first_sent) const;

    /// Returns whether every member knows this agent when it decides a key first sent at `first_sent`.
    bool is_known_to_all_members(core::wall_time first_sent) const;

    /// Returns the latest departure time among the departed members that may have held records of keys in `bucket`.
    /// Their records can no longer be looked up. Nothing when there is no such member.
    std::optional<core::wall_time> records_lost_until(std::uint32_t bucket) const;

private:
    struct departure {
        /// The latest time at which the member can have accepted a new key.
        core::wall_time last_new_key_at;
        /// The chains before the departure, including all former candidates. Null when unknown: the member may then
        /// have held records of every bucket.
        std::shared_ptr<const routing::service_chains> chains;
    };

    bool was_drained_before(const core::upstream_id& id, std::optional<core::wall_time> first_sent) const;
    bool is_reachable(const dissemination::system_state& state, const membership::upstream& it) const;
    core::wall_time departure_time(const membership::upstream& it, core::wall_time now) const;
    std::shared_ptr<const routing::service_chains> chains_before_change() const;

    core::upstream_id self_;
    core::service_id service_;
    /// The other members whose agents can be asked for records.
    std::map<core::upstream_id, core::endpoint> reachable_members_;
    std::map<core::upstream_id, core::wall_time> draining_since_;
    std::map<core::upstream_id, departure> departed_;
    std::map<core::upstream_id, membership::upstream_state> member_states_;
    core::wall_time members_changed_at_;
    /// When this agent first appeared in the system state.
    std::optional<core::wall_time> joined_at_;
    core::version applied_version_;
    std::deque<std::shared_ptr<const routing::routing_table>> recent_routes_;
};

} // namespace ibisdyke::frontends
