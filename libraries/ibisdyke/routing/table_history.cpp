#include "ibisdyke/routing/table_history.h"

#include <algorithm>

namespace ibisdyke::routing {

void table_history::record_seen(const core::version& seen, const core::version& applied, core::time_point now)
{
    newest_seen_ = std::max(newest_seen_, seen);
    if (newest_seen_ <= applied)
        behind_since_.reset();
    else if (!behind_since_)
        behind_since_ = now;
}

bool table_history::lacks_change(
    const core::version& balancer, const core::version& applied, core::time_point now) const
{
    return behind_since_ && now - *behind_since_ < max_table_lag && newest_seen_ > std::max(balancer, applied);
}

void table_history::record_applied(const core::version& applied, core::time_point now)
{
    if (applied_.empty() || applied_.back().second < applied)
        applied_.emplace_back(now, applied);
    while (applied_.size() > 1 && now - applied_[1].first >= max_table_lag)
        applied_.pop_front();
}

core::version table_history::oldest_in_use(const core::version& applied) const
{
    return applied_.empty() ? applied : std::min(applied, applied_.front().second);
}

} // namespace ibisdyke::routing
