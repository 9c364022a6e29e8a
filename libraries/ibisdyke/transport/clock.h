#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/observability/clock.h"

#include <chrono>

namespace ibisdyke::transport {

/// The monotonic clock. It is shared with the log, so that decisions and log lines use the same time.
using observability::read_clock;

/// Returns the current calendar time, rounded down to whole milliseconds.
inline core::wall_time read_wall_clock()
{
    return std::chrono::floor<core::milliseconds>(std::chrono::system_clock::now());
}

} // namespace ibisdyke::transport
