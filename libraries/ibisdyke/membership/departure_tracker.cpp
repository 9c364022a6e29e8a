#include "ibisdyke/membership/departure_tracker.h"

namespace ibisdyke::membership {

void departure_tracker::update(bool has_left, bool is_removed, core::time_point now)
{
    if (!has_left || !is_removed)
        removed_at_.reset();
    else if (!removed_at_)
        removed_at_ = now;
}

} // namespace ibisdyke::membership
