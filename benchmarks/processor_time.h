#pragma once

#include <chrono>
#include <ctime>

namespace ibisdyke::benchmarks {

/// Returns the processor time of a clock, which is that of the process, this thread or another thread. Processor time
/// does not include other work on the machine.
inline std::chrono::nanoseconds processor_time(clockid_t clock)
{
    timespec it{};
    clock_gettime(clock, &it);
    return std::chrono::seconds(it.tv_sec) + std::chrono::nanoseconds(it.tv_nsec);
}

} // namespace ibisdyke::benchmarks
