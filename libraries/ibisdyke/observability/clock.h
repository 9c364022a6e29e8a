#pragma once

#include "ibisdyke/core/time.h"

#include <chrono>
#include <ctime>

namespace ibisdyke::observability {

/// Returns the time of the monotonic clock that includes time in which the VM was suspended (CLOCK_BOOTTIME). With a
/// clock that stops during a suspension, an expired lease would look valid afterwards. Decision code takes the time as
/// an argument and must not call this function.
inline core::time_point read_clock()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return core::time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace ibisdyke::observability
