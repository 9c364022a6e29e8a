#pragma once

#include "ibisdyke/core/time.h"

namespace ibisdyke::measure {

/// The share of its full load that a fake upstream can serve after its start. The share grows linearly from
/// `initial_share` to 1 over `ramp`.
struct cold_start {
    core::time_point started_at;
    double initial_share = 0.1;
    core::milliseconds ramp{10'000};

    /// Returns the share of the full load that the upstream can serve at `now`, 0 to 1.
    double load_share(core::time_point now) const
    {
        if (ramp.count() == 0 || now >= started_at + ramp)
            return 1;
        const auto progress = std::chrono::duration<double>(now - started_at) / std::chrono::duration<double>(ramp);
        return initial_share + (1 - initial_share) * progress;
    }

    friend bool operator==(const cold_start&, const cold_start&) = default;
};

} // namespace ibisdyke::measure
