#include "ibisdyke/routing/failure_detector.h"

#include <algorithm>

namespace ibisdyke::routing {

void failure_detector::push(bool failed)
{
    failures_ <<= 1;
    failures_[0] = failed;
    outcomes_ = std::min(outcomes_ + 1, window);
}

void failure_detector::note_success()
{
    push(false);
    if (failures_.none())
        pause_ = first_pause;
}

void failure_detector::note_failure(core::time_point now)
{
    push(true);
    const auto failures = failures_.count();
    if (failures < min_failures || failures * failing_share < outcomes_)
        return;
    // Requests of open flows may go on failing meanwhile; only a failure after the pause shows that it was too short.
    if (!is_failing(now)) {
        failing_until_ = now + pause_;
        pause_ = std::min(pause_ * 2, max_pause);
    }
}

} // namespace ibisdyke::routing
