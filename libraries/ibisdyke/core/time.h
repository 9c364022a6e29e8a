#pragma once

#include <chrono>

namespace ibisdyke::core {

/// Monotonic time, which advances even while the VM is suspended. Decision functions take the current time as an
/// argument of this type and never read a clock.
using time_point = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;

/// Wall-clock time in milliseconds since the Unix epoch. Used only for times that are passed between processes.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

using milliseconds = std::chrono::milliseconds;

} // namespace ibisdyke::core
