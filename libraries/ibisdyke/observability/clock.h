#pragma once

#include "ibisdyke/core/time.h"

#include <chrono>
#include <ctime>

namespace ibisdyke::observability {

/// Returns the present time of the monotonic clock that goes on while the VM is suspended: a lease must not look young
/// after a pause. Decision code gets the time as an argument and must not call this.
inline core::time_point read_clock()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return core::time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace ibisdyke::observability
