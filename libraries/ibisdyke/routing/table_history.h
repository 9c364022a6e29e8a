#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/core/version.h"

#include <chrono>
#include <deque>
#include <optional>
#include <utility>

namespace ibisdyke::routing {

/// The versions of tables that an agent has applied lately, and those that packets have told it of. Used by one thread.
class table_history {
public:
    /// How long flows are placed by a table after the agent has replaced it, and how long an agent that lacks a change
    /// waits for it. The watermark lags behind by as much.
    static constexpr std::chrono::seconds table_lag{10};

    /// A packet came by a table of this version.
    void note_seen(const core::version& seen, const core::version& applied, core::time_point now);

    /// Whether other processes have a change that neither this agent nor the balancer of a packet has. An agent that
    /// stays cut off goes on without it after table_lag.
    bool lacks_change(const core::version& balancer, const core::version& applied, core::time_point now) const;

    void note_applied(const core::version& applied, core::time_point now);

    /// Returns the oldest version by which flows may be placed here: it was in force within table_lag.
    core::version oldest(const core::version& applied) const;

private:
    /// The newest version in a header, and since when it has been newer than the applied one.
    core::version newest_seen_;
    std::optional<core::time_point> behind_since_;
    /// Versions that were applied within table_lag, with their times, and the newest one before.
    std::deque<std::pair<core::time_point, core::version>> applied_;
};

} // namespace ibisdyke::routing
