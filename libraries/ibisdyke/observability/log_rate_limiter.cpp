#include "ibisdyke/observability/log_rate_limiter.h"

#include <chrono>

namespace ibisdyke::observability {

bool log_rate_limiter::allows(std::string_view event, core::time_point now)
{
    auto it = windows_.find(event);
    if (it == windows_.end())
        it = windows_.emplace(std::string(event), window{now, 0, 0}).first;
    auto& current = it->second;
    if (now - current.begin >= std::chrono::seconds(1)) {
        current.begin = now;
        current.lines = 0;
    }
    if (current.lines >= max_lines_per_second_) {
        ++current.suppressed;
        return false;
    }
    ++current.lines;
    return true;
}

std::vector<std::pair<std::string, std::uint64_t>> log_rate_limiter::take_suppressed()
{
    std::vector<std::pair<std::string, std::uint64_t>> result;
    for (auto& [event, it] : windows_) {
        if (it.suppressed > 0)
            result.emplace_back(event, std::exchange(it.suppressed, 0));
    }
    return result;
}

} // namespace ibisdyke::observability
