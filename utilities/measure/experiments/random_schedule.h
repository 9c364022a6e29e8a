#pragma once

#include "measure/trace/trace.h"

namespace ibisdyke::measure {

/// Returns a trace of a sample deployment with random faults. Equal arguments give equal traces. The design tolerates
/// all of these faults: a majority of the control processes stays connected, and each fault ends before the run ends.
trace create_random_trace(std::uint64_t seed, double seconds);

/// Returns the bounds that the design guarantees for all tolerated faults.
expectations guaranteed_outcomes();

} // namespace ibisdyke::measure
