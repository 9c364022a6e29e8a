#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/observability/clock.h"

#include <chrono>

namespace ibisdyke::transport {

/// The present time, for decisions and log lines alike.
using observability::read_clock;

/// Returns the present calendar time, rounded down to whole milliseconds.
inline core::wall_time read_wall_clock()
{
    return std::chrono::floor<core::milliseconds>(std::chrono::system_clock::now());
}

} // namespace ibisdyke::transport
