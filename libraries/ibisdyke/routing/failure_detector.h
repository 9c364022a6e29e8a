#pragma once

#include "ibisdyke/core/time.h"

#include <algorithm>
#include <bitset>
#include <cstddef>

namespace ibisdyke::routing {

/// Detects from the outcomes of requests that an upstream fails although it reports that it is healthy. New flows then
/// go to other candidates for a pause, which doubles each time the upstream fails again after it. Used by one thread.
class failure_detector {
public:
    /// Number of recent outcomes that are considered.
    static constexpr std::size_t window = 16;
    /// The upstream is failing when at least min_failures outcomes, and at least one in this many, are failures.
    static constexpr std::size_t failure_divisor = 4;
    static constexpr std::size_t min_failures = 2;

    static constexpr core::milliseconds first_pause{1'000};
    static constexpr core::milliseconds max_pause{8'000};

    /// Records that the upstream has responded to a request.
    void record_success();

    /// Records that the upstream has reset a flow before its response, or has not responded in time.
    void record_failure(core::time_point now);

    /// Whether new flows should go to other candidates if any can take them.
    bool is_failing(core::time_point now) const { return now < failing_until_; }

    /// Ends a pause early, because the upstream responds again. The pause after the next failure is not shorter for it.
    void end_pause(core::time_point now) { failing_until_ = std::min(failing_until_, now); }

    /// Discards all outcomes when the upstream has restarted.
    void reset() { *this = {}; }

private:
    void record_outcome(bool failed);

    /// The last outcomes, the latest in bit 0. A set bit is a failure.
    std::bitset<window> failures_;
    std::size_t outcome_count_ = 0;
    core::time_point failing_until_{};
    /// How long the upstream gets no new flows when it fails again.
    core::milliseconds next_pause_ = first_pause;
};

} // namespace ibisdyke::routing
