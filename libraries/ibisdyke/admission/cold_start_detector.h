#pragma once

#include "ibisdyke/core/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace ibisdyke::admission {

/// Detects a cold start that the upstream has not announced, by the latencies of its answers.
class cold_start_detector {
public:
    /// An answer counts as slow when its latency exceeds the moving median by this factor.
    static constexpr double slow_factor = 4;
    /// Number of recent answers over which the median is computed.
    static constexpr std::size_t window_size = 64;
    /// Number of answers needed for a meaningful median.
    static constexpr std::size_t min_samples = 8;
    /// Number of consecutive slow answers that indicate a cold start. A single slow answer may be a large document.
    static constexpr std::uint32_t min_consecutive_slow = 3;
    /// Shorter latencies never count as slow, because scheduling delays of a busy VM reach this value.
    static constexpr core::milliseconds min_slow_latency{20};

    /// Adds the time from the start of a request to the head of its answer. Returns whether the recent answers indicate
    /// a cold start.
    bool add(std::chrono::nanoseconds latency);

    /// Returns the moving median, or zero when there are fewer than min_samples answers.
    std::chrono::nanoseconds median() const;

private:
    std::deque<std::chrono::nanoseconds> window_;
    std::uint32_t consecutive_slow_ = 0;
};

} // namespace ibisdyke::admission
