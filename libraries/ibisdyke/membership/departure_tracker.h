#pragma once

#include "ibisdyke/core/time.h"

#include <optional>

namespace ibisdyke::membership {

/// Decides when an agent whose upstream has left may end. Balancers and agents that have not applied the removal of the
/// upstream's record yet still send packets of other flows through this agent.
class departure_tracker {
public:
    /// The agent passes packets on for this long after it has applied the removal.
    static constexpr core::milliseconds linger{1'000};

    /// The longest time that the agent waits after it was told to stop. Shorter than platforms wait before they kill a
    /// process.
    static constexpr core::milliseconds max_wait{2'500};

    /// Updates the tracker. `is_removed` tells whether the state that the agent has applied records the upstream as
    /// gone or not at all.
    void update(bool has_left, bool is_removed, core::time_point now);

    /// Whether the upstream has left and its record was removed at least `linger` ago.
    bool may_end(core::time_point now) const { return removed_at_ && now - *removed_at_ >= linger; }

private:
    /// When the agent applied the removal of the record of an upstream that has left.
    std::optional<core::time_point> removed_at_;
};

} // namespace ibisdyke::membership
