#pragma once

#include <cstdint>
#include <optional>

namespace ibisdyke::measure {

/// CPU time and memory of a process, from /proc.
struct process_usage {
    /// User and system time since the start of the process.
    double cpu_seconds = 0;
    double rss_mb = 0;

    friend bool operator==(const process_usage&, const process_usage&) = default;
};

/// Returns the usage of a process, or nothing when it has ended.
std::optional<process_usage> read_process_usage(std::int64_t pid);

} // namespace ibisdyke::measure
