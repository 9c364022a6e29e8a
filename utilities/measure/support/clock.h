#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/transport/clock.h"

namespace ibisdyke::measure {

/// The clock of all parts of a run, so that times taken at callers and at upstreams are comparable.
using transport::read_clock;

/// Returns the time from `from` to `to`, rounded towards zero to whole milliseconds.
inline std::int64_t milliseconds_between(core::time_point from, core::time_point to)
{
    return std::chrono::duration_cast<core::milliseconds>(to - from).count();
}

} // namespace ibisdyke::measure
