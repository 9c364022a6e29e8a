#include "ibisdyke/routing/priority_room.h"

namespace ibisdyke::routing {

namespace {

/// The longest wait of a priority is that of the next higher priority divided by this. Half of the queue holds a burst
/// of urgent flows that arrive while the other half is full.
constexpr int wait_divisor = 2;

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
        max_wait /= wait_divisor;
    return expected.wait <= max_wait;
}

} // namespace ibisdyke::routing
