#include "ibisdyke/routing/priority_room.h"

#include <algorithm>

namespace ibisdyke::routing {

namespace {

/// The longest wait of a priority, in percent of that of the next higher one. The rest of the queue holds the urgent
/// flows of a short burst. A larger rest would refuse other flows while urgent ones have places enough.
constexpr int lower_priority_percent = 67;

} // namespace

void priority_room::record_flow(std::uint32_t priority, core::time_point now)
{
    last_flows_.insert_or_assign(priority, now);
    if (last_flows_.size() > 1)
        std::erase_if(last_flows_, [now](const auto& it) { return now - it.second > max_age; });
}

std::uint32_t priority_room::rank_of(std::uint32_t priority, core::time_point now) const
{
    std::uint32_t result = 0;
    for (const auto& [higher, last_flow] : last_flows_) {
        if (higher >= priority || result == max_rank)
            break;
        result += now - last_flow <= max_age ? 1 : 0;
    }
    return result;
}

bool priority_room::may_wait(std::uint32_t priority, const expected_wait& expected, core::time_point now) const
{
    auto max_wait = expected.max_wait;
    for (auto n = rank_of(priority, now); n > 0; --n)
        max_wait = max_wait * lower_priority_percent / 100;
    return expected.wait <= std::max(max_wait, expected.next_slot);
}

} // namespace ibisdyke::routing
