#include "ibisdyke/routing/recovery_probe.h"

#include <utility>

namespace ibisdyke::routing {

void recovery_probe::update(bool failing, core::time_point now)
{
    if (std::exchange(pausing_, failing) != failing) {
        flow_.reset();
        responses_ = 0;
        next_ = now + interval;
    }
    if (flow_ && now - since_ >= max_wait)
        fail(now);
}

void recovery_probe::record_new_flow(const flow_key& flow, core::time_point now)
{
    if (!is_due(now))
        return;
    flow_ = flow;
    since_ = now;
}

bool recovery_probe::record_response(const flow_key& flow, core::time_point now)
{
    if (flow_ != flow)
        return false;
    flow_.reset();
    next_ = now;
    return ++responses_ >= min_responses;
}

void recovery_probe::record_failure(const flow_key& flow, core::time_point now)
{
    if (flow_ == flow)
        fail(now);
}

void recovery_probe::fail(core::time_point now)
{
    flow_.reset();
    responses_ = 0;
    next_ = now + interval;
}

} // namespace ibisdyke::routing
