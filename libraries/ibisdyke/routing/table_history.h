#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/core/version.h"

#include <chrono>
#include <deque>
#include <optional>
#include <utility>

namespace ibisdyke::routing {

/// The table versions that an agent has applied recently and those seen in packet headers. Used by one thread.
class table_history {
public:
    /// How long flows may still be placed with a table after the agent has replaced it, and how long an agent waits for
    /// a change that it lacks. The watermark lags behind the applied version by this time.
    static constexpr std::chrono::seconds max_table_lag{10};

    /// Records that a packet header has the table version `seen`.
    void record_seen(const core::version& seen, const core::version& applied, core::time_point now);

    /// Whether other processes have applied a change that neither this agent nor the balancer of a packet has. Returns
    /// false after max_table_lag, so that an agent that stays disconnected continues without the change.
    bool lacks_change(const core::version& balancer, const core::version& applied, core::time_point now) const;

    void record_applied(const core::version& applied, core::time_point now);

    /// Returns the oldest table version with which flows may be placed here. This version was in use within
    /// max_table_lag.
    core::version oldest_in_use(const core::version& applied) const;

private:
    /// The newest version seen in a header, and the time since which it has been newer than the applied version.
    core::version newest_seen_;
    std::optional<core::time_point> behind_since_;
    /// The versions applied within max_table_lag and the one before them, with the times at which they were applied.
    std::deque<std::pair<core::time_point, core::version>> applied_;
};

} // namespace ibisdyke::routing
