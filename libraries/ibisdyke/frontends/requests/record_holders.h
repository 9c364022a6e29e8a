#pragma once

#include "ibisdyke/dissemination/system_state.h"
#include "ibisdyke/routing/routing_table.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace ibisdyke::frontends {

/// Which agents may hold the record of a key, as one agent of the service knows them. Follows the system state, because
/// the state itself does not say when a failure domain went out or an upstream began to drain.
class record_holders {
public:
    record_holders(const core::upstream_id& self, const core::service_id& service)
        : self_(self)
        , service_(service)
    {
    }

    /// Takes over a new table. Call before update() when both are new.
    void add_routes(std::shared_ptr<const routing::routing_table> routes);

    /// Takes over a new state.
    void update(const dissemination::system_state& state, core::wall_time now);

    /// Returns where to ask for a key: the candidates of its chain, and every other member of the service too when the
    /// members changed since the key may have been sent first. A member that drained before then is not asked.
    std::vector<core::endpoint> peers(const routing::chain* chain, std::optional<core::wall_time> first_sent) const;

    /// Returns how many members left that may have taken part in a run of a key first sent then.
    std::size_t count_departed(core::wall_time first_sent) const;

    /// Whether all members know of this agent when they decide a key first sent then.
    bool is_established(core::wall_time first_sent) const;

    /// Returns the latest time at which a member left, without leaving its records to ask for, that may have held the
    /// record of a key of that bucket.
    std::optional<core::wall_time> lost_until(std::uint32_t bucket) const;

private:
    struct departure {
        /// The last time at which the member can have taken a new key.
        core::wall_time at;
        /// The chains of that time with every former candidate; null when unknown, which stands for all buckets.
        std::shared_ptr<const routing::service_chains> chains;
    };

    bool is_drained_before(const core::upstream_id& id, std::optional<core::wall_time> first_sent) const;
    bool is_present(const dissemination::system_state& state, const membership::upstream& it) const;
    core::wall_time departure_time(const membership::upstream& it, core::wall_time now) const;
    std::shared_ptr<const routing::service_chains> chains_before_change() const;

    core::upstream_id self_;
    core::service_id service_;
    /// Other members whose agents can be asked.
    std::map<core::upstream_id, core::endpoint> present_;
    std::map<core::upstream_id, core::wall_time> draining_since_;
    std::map<core::upstream_id, departure> departed_;
    std::map<core::upstream_id, membership::upstream_state> states_;
    core::wall_time changed_at_;
    /// When this agent's own join was first seen.
    std::optional<core::wall_time> joined_at_;
    core::version applied_;
    std::deque<std::shared_ptr<const routing::routing_table>> recent_routes_;
};

} // namespace ibisdyke::frontends
