#pragma once

#include "ibisdyke/dissemination/delta.h"
#include "ibisdyke/dissemination/system_state.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace ibisdyke::dissemination {

/// The latest versions of the system state as deltas, for subscribers that return after a short absence.
class delta_history {
public:
    /// More than half a day of changes at the design size (6,400 membership and 730 configuration changes per day).
    static constexpr std::size_t default_capacity = 4096;

    explicit delta_history(std::size_t capacity = default_capacity)
        : capacity_(capacity)
    {
    }

    /// Adds the next state and returns the delta from the state before it. Returns nothing for the first state. A state
    /// that is not newer than the latest one is ignored, and nothing is returned.
    std::optional<delta> push(const system_state_snapshot& next);

    /// Returns one delta from `version` to the latest state. Returns nothing if no kept delta begins at `version`; a
    /// subscriber with an older version then needs a snapshot.
    std::optional<delta> since(const core::version& version) const;

    /// The latest state; null before the first push().
    const system_state_snapshot& latest() const { return latest_; }

    std::size_t size() const { return deltas_.size(); }

private:
    std::size_t capacity_;
    system_state_snapshot latest_;
    /// Oldest first; each delta begins at the version at which the delta before it ends.
    std::deque<delta> deltas_;
};

} // namespace ibisdyke::dissemination
