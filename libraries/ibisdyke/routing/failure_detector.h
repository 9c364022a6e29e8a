#pragma once

#include "ibisdyke/core/time.h"

#include <bitset>
#include <cstddef>

namespace ibisdyke::routing {

/// Tells from the outcomes of requests whether an upstream fails while it says that it is well. New flows then go to
/// other candidates for a time, which doubles while the upstream still fails when it gets flows again. Used by one
/// thread.
class failure_detector {
public:
    /// How many of the last outcomes count.
    static constexpr std::size_t window = 16;
    /// Failures among them, of at least min_failures, as one part in this many of the outcomes.
    static constexpr std::size_t failing_share = 4;
    static constexpr std::size_t min_failures = 2;

    static constexpr core::milliseconds first_pause{1'000};
    static constexpr core::milliseconds max_pause{8'000};

    /// The upstream has answered a request.
    void note_success();

    /// The upstream has reset a flow that waited for its answer, or has not answered in time.
    void note_failure(core::time_point now);

    /// Whether new flows are to go elsewhere if they can.
    bool is_failing(core::time_point now) const { return now < failing_until_; }

    /// Forgets all outcomes: the upstream has restarted.
    void reset() { *this = {}; }

private:
    void push(bool failed);

    /// The last outcomes, the latest one in bit 0; set for a failure.
    std::bitset<window> failures_;
    std::size_t outcomes_ = 0;
    core::time_point failing_until_{};
    /// How long the upstream is spared when it fails next.
    core::milliseconds pause_ = first_pause;
};

} // namespace ibisdyke::routing
