#include "ibisdyke/routing/failed_searches.h"

namespace ibisdyke::routing {

bool failed_searches::record_failure(const flow_key& flow, core::time_point now)
{
    expire(now);
    const auto it = missed_.find(flow);
    if (it != missed_.end()) {
        auto& known = it->second;
        if (now - known.last >= max_gap)
            known.first = now;
        known.last = now;
        return now - known.first >= confirmation;
    }
    // A flood of unknown flows is dropped without an answer rather than remembered.
    if (missed_.size() >= max_entries)
        return false;
    missed_.emplace(flow, misses{now, now});
    order_.emplace_back(now, flow);
    return false;
}

void failed_searches::expire(core::time_point now)
{
    while (!order_.empty() && now - order_.front().first >= memory) {
        missed_.erase(order_.front().second);
        order_.pop_front();
    }
}

} // namespace ibisdyke::routing
