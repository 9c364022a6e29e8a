#pragma once

#include <algorithm>
#include <chrono>
#include <ctime>
#include <vector>

namespace ibisdyke::benchmarks {

/// Returns the processor time of a clock, which is that of the process, this thread or another thread. Processor time
/// does not include other work on the machine.
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
