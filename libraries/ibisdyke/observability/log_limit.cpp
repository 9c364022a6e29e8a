#include "ibisdyke/observability/log_limit.h"

#include <chrono>

namespace ibisdyke::observability {

bool log_limit::allows(std::string_view event, core::time_point now)
{
    auto it = windows_.find(event);
    if (it == windows_.end())
        it = windows_.emplace(std::string(event), window{now, 0, 0}).first;
    auto& known = it->second;
    if (now - known.begin >= std::chrono::seconds(1)) {
        known.begin = now;
        known.lines = 0;
    }
    if (known.lines >= lines_per_second_) {
        ++known.suppressed;
        return false;
    }
    ++known.lines;
    return true;
}

std::vector<std::pair<std::string, std::uint64_t>> log_limit::take_suppressed()
{
    std::vector<std::pair<std::string, std::uint64_t>> result;
    for (auto& [event, it] : windows_) {
        if (it.suppressed > 0)
            result.emplace_back(event, std::exchange(it.suppressed, 0));
    }
    return result;
}

} // namespace ibisdyke::observability
