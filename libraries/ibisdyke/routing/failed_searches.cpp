#include "ibisdyke/routing/failed_searches.h"

namespace ibisdyke::routing {

bool failed_searches::record_failure(const flow_key& flow, core::time_point now)
{
    expire(now);
    const auto it = failures_.find(flow);
    if (it != failures_.end()) {
        auto& times = it->second;
        if (now - times.last >= max_failure_gap)
            times.first = now;
        times.last = now;
        return now - times.first >= confirmation_delay;
    }
    // Bounds the memory that a flood of unknown flows can take. Further flows are not rejected; their packets are
    // dropped.
    if (failures_.size() >= max_entries)
        return false;
    failures_.emplace(flow, failure_times{now, now});
    insertion_order_.emplace_back(now, flow);
    return false;
}

void failed_searches::expire(core::time_point now)
{
    while (!insertion_order_.empty() && now - insertion_order_.front().first >= max_age) {
        failures_.erase(insertion_order_.front().second);
        insertion_order_.pop_front();
    }
}

} // namespace ibisdyke::routing
