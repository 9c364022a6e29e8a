#include "ibisdyke/routing/pending_requests.h"

namespace ibisdyke::routing {

void pending_requests::begin(const flow_key& flow, core::time_point now)
{
    if (since_.insert_or_assign(flow, now).second)
        order_.emplace_back(now, flow);
}

void pending_requests::expire(core::time_point now)
{
    while (!order_.empty() && now - order_.front().first >= memory) {
        const auto flow = order_.front().second;
        order_.pop_front();
        const auto it = since_.find(flow);
        if (it == since_.end())
            continue;
        if (now - it->second >= memory)
            since_.erase(it);
        else
            order_.emplace_back(it->second, flow);
    }
}

} // namespace ibisdyke::routing
