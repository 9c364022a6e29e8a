#include "ibisdyke/routing/failure_detector.h"

#include <algorithm>

namespace ibisdyke::routing {

void failure_detector::record_outcome(bool failed)
{
    failures_ <<= 1;
    failures_[0] = failed;
    outcome_count_ = std::min(outcome_count_ + 1, window);
}

void failure_detector::record_success()
{
    record_outcome(false);
    if (failures_.none())
        next_pause_ = first_pause;
}

void failure_detector::record_failure(core::time_point now)
{
    record_outcome(true);
    const auto failures = failures_.count();
    if (failures < min_failures || failures * failure_divisor < outcome_count_)
        return;
    // Requests of open flows may still fail during a pause. Only a failure after the pause shows that it was too short.
    if (!is_failing(now)) {
        failing_until_ = now + next_pause_;
        next_pause_ = std::min(next_pause_ * 2, max_pause);
    }
}

} // namespace ibisdyke::routing
