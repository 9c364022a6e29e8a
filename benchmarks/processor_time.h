#pragma once

#include <algorithm>
#include <chrono>
#include <ctime>
#include <vector>

namespace ibisdyke::benchmarks {

/// Returns the processor time on a clock: that of the process, of this thread or of another one. Other work on the
/// machine does not count.
inline std::chrono::nanoseconds processor_time(clockid_t clock)
{
    timespec it{};
    clock_gettime(clock, &it);
    return std::chrono::seconds(it.tv_sec) + std::chrono::nanoseconds(it.tv_nsec);
}

/// Returns the upper median. `values` must not be empty.
inline double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

} // namespace ibisdyke::benchmarks
