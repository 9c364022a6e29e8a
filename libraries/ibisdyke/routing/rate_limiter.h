#pragma once

#include "ibisdyke/core/time.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace ibisdyke::routing {

/// A token bucket.
class rate_limiter {
public:
    /// `burst` is the number of events allowed at once after a pause.
    rate_limiter(double events_per_second, double burst)
        : rate_(events_per_second)
        , burst_(burst)
        , tokens_(burst)
    {
    }

    /// Changes the rate and burst. The available tokens are kept, up to the new burst.
    void set_rate(double events_per_second, double burst)
    {
        rate_ = events_per_second;
        burst_ = burst;
        tokens_ = std::min(tokens_, burst);
    }

    bool allows(core::time_point now)
    {
        refill(now);
        return tokens_ >= 1;
    }

    /// Counts an event if it is allowed now, and returns whether it is.
    bool take(core::time_point now)
    {
        if (!allows(now))
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    void refill(core::time_point now)
    {
        if (std::isinf(rate_))
            tokens_ = burst_;
        if (now <= refilled_)
            return;
        const std::chrono::duration<double> elapsed = now - refilled_;
        tokens_ = std::min(burst_, tokens_ + elapsed.count() * rate_);
        refilled_ = now;
    }

    double rate_;
    double burst_;
    double tokens_;
    core::time_point refilled_{};
};

} // namespace ibisdyke::routing
