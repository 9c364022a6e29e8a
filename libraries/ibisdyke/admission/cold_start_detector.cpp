#include "ibisdyke/admission/cold_start_detector.h"

#include <algorithm>
#include <vector>

namespace ibisdyke::admission {

bool cold_start_detector::add(std::chrono::nanoseconds latency)
{
    const auto threshold = std::chrono::duration<double, std::nano>(median()) * slow_factor;
    const auto slow = window_.size() >= min_samples && latency > threshold && latency > min_slow_latency;
    consecutive_slow_ = slow ? consecutive_slow_ + 1 : 0;
    // The window includes slow answers, so that an upstream that stays slow does not remain in cold start for ever.
    window_.push_back(latency);
    if (window_.size() > window_size)
        window_.pop_front();
    if (consecutive_slow_ < min_consecutive_slow)
        return false;
    consecutive_slow_ = 0;
    return true;
}

std::chrono::nanoseconds cold_start_detector::median() const
{
    if (window_.size() < min_samples)
        return {};
    std::vector<std::chrono::nanoseconds> sorted(window_.begin(), window_.end());
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

} // namespace ibisdyke::admission
