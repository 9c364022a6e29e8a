#pragma once

#include "ibisdyke/core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ibisdyke::observability {

/// Bounds the lines of each event, so that a flood of one kind neither fills the log nor hides the others. Not
/// synchronised.
class log_limit {
public:
    /// Lines of each event that may be written in a second.
    explicit log_limit(std::uint64_t max_lines)
        : lines_per_second_(max_lines)
    {
    }

    /// Counts a line of the event and returns whether it is to be written.
    bool allows(std::string_view event, core::time_point now);

    /// Returns the events of which lines were left out since the last call, with their counts.
    std::vector<std::pair<std::string, std::uint64_t>> take_suppressed();

private:
    struct window {
        core::time_point begin;
        std::uint64_t lines = 0;
        std::uint64_t suppressed = 0;
    };

    std::uint64_t lines_per_second_;
    std::map<std::string, window, std::less<>> windows_;
};

} // namespace ibisdyke::observability
