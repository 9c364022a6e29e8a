#pragma once

#include <chrono>

namespace ibisdyke::core {

/// Monotonic time, which goes on while the VM is suspended. Functions that decide take the present time as an argument
/// of this type and never read a clock.
using time_point = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;

/// Wall-clock time in milliseconds since the Unix epoch. Used only where a time crosses process boundaries.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

using milliseconds = std::chrono::milliseconds;

} // namespace ibisdyke::core
