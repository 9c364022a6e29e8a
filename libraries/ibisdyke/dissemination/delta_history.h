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

    /// A change of a route plan takes up to a few hundred kilobytes, so the deltas are limited by their size as well.
    /// Holds some forty losses of a failure domain at the design size.
    static constexpr std::size_t default_max_bytes = std::size_t{16} << 20;

    explicit delta_history(std::size_t capacity = default_capacity, std::size_t max_bytes = default_max_bytes)
        : capacity_(capacity)
        , max_bytes_(max_bytes)
    {
    }

    /// Adds the next state and returns the delta from the state before it. Drops the oldest deltas above the limits.
    /// Returns nothing for the first state. A state that is not newer than the latest one is ignored, and nothing is
    /// returned.
    std::optional<delta> push(const system_state_snapshot& next);

    /// Returns one delta from `version` to the latest state. Returns nothing if no kept delta begins at `version`; a
    /// subscriber with an older version then needs a snapshot.
    std::optional<delta> since(const core::version& version) const;

    /// The latest state; null before the first push().
    const system_state_snapshot& latest() const { return latest_; }

    std::size_t size() const { return deltas_.size(); }

private:
    std::size_t capacity_;
    std::size_t max_bytes_;
    /// The sum of memory_bytes() of the deltas.
    std::size_t bytes_ = 0;
    system_state_snapshot latest_;
    /// Oldest first; each delta begins at the version at which the delta before it ends.
    std::deque<delta> deltas_;
};

} // namespace ibisdyke::dissemination
