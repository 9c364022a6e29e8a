#include "ibisdyke/membership/upstream_presence.h"

#include <algorithm>

namespace ibisdyke::membership {

namespace {

constexpr std::size_t max_former_runs = 64;

} // namespace

std::string_view to_string(presence it)
{
    switch (it) {
    case presence::ready:
        return "ready";
    case presence::draining:
        return "draining";
    case presence::left:
        return "left";
    case presence::absent:
        break;
    }
    return "absent";
}

upstream_presence::upstream_presence(std::string service, const core::endpoint& address, core::milliseconds period)
    : service_(std::move(service))
    , address_(address)
    , period_(period)
{
}

bool upstream_presence::is_news(const announcement& it, core::time_point now) const
{
    if (it.service != service_ || it.address != address_)
        return false;
    if (!latest_)
        return true;
    if (it.id == latest_->id && it.born_ms == latest_->born_ms)
        return it.sequence > latest_->sequence;
    if (std::find(former_.begin(), former_.end(), run_key(it.id, it.born_ms)) != former_.end())
        return false;
    // The upstream's clock may have been set back between two runs, so an earlier birth alone does not show that the
    // announcement is a late one. A run that is heard of now and then is not followed by another.
    return it.born_ms > latest_->born_ms || left_ || now - heard_ > period_ + period_ / 2;
}

bool upstream_presence::take(const announcement& it, core::time_point now)
{
    if (!is_news(it, now))
        return false;
    const bool same_run = latest_ && latest_->id == it.id && latest_->born_ms == it.born_ms;
    if (!same_run) {
        if (latest_)
            former_.emplace_back(latest_->id, latest_->born_ms);
        if (former_.size() > max_former_runs)
            former_.erase(former_.begin());
        ++run_;
        left_ = false;
    }
    latest_ = it;
    heard_ = now;
    cold_until_ = now + it.cold_for;
    return true;
}

void upstream_presence::leave(const std::string& id)
{
    if (latest_ && latest_->id == id)
        left_ = true;
}

presence upstream_presence::state(core::time_point now) const
{
    if (left_)
        return presence::left;
    if (!latest_ || now - heard_ > missed_announcements * period_)
        return presence::absent;
    return latest_->draining ? presence::draining : presence::ready;
}

} // namespace ibisdyke::membership
