#include "ibisdyke/accounting/usage_counter.h"

#include <algorithm>

namespace ibisdyke::accounting {

std::uint64_t hour_of(core::wall_time now)
{
    return static_cast<std::uint64_t>(std::chrono::floor<std::chrono::hours>(now.time_since_epoch()).count());
}

void usage_counter::add(
    const core::neighbour& neighbour, const std::string& service, const usage_counters& used, core::wall_time now)
{
    latest_hour_ = std::max(latest_hour_, hour_of(now));
    const usage_key key{neighbour, service, latest_hour_};
    const auto [it, created] = usage_.try_emplace(key);
    if (created)
        prune(key.hour);
    auto& total = it->second;
    total = sum(total, used);
    ++changes_;
}

void usage_counter::prune(std::uint64_t current_hour)
{
    for (auto it = usage_.begin(); it != usage_.end();)
        it = it->first.hour + reported_hours < current_hour ? usage_.erase(it) : std::next(it);
}

} // namespace ibisdyke::accounting
