#pragma once

#include "ibisdyke/core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ibisdyke::observability {

/// Limits the rate of log lines per event, so that a flood of one event neither fills the log nor hides other events.
/// Not thread-safe.
class log_rate_limiter {
public:
    /// `max_lines_per_second` is the limit of each event.
    explicit log_rate_limiter(std::uint64_t max_lines_per_second)
        : max_lines_per_second_(max_lines_per_second)
    {
    }

    /// Counts a line of the event and returns whether the line may be written.
    bool allows(std::string_view event, core::time_point now);

    /// Returns the events with lines that were suppressed since the last call, and the number of these lines.
    std::vector<std::pair<std::string, std::uint64_t>> take_suppressed();

private:
    struct window {
        core::time_point begin;
        std::uint64_t lines = 0;
        std::uint64_t suppressed = 0;
    };

    std::uint64_t max_lines_per_second_;
    std::map<std::string, window, std::less<>> windows_;
};

} // namespace ibisdyke::observability
