#include "ibisdyke/routing/overload_monitor.h"

namespace ibisdyke::routing {

bool overload_monitor::is_lasting(const std::optional<core::time_point>& busy_since, core::time_point now) const
{
    if (!busy_since)
        return false;
    const bool callers_return = started_at_ && now - *started_at_ < return_time;
    return callers_return || now - *busy_since >= sustained_overload;
}

} // namespace ibisdyke::routing
