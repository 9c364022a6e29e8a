#include "ibisdyke/membership/upstream_presence.h"

#include <algorithm>

namespace ibisdyke::membership {

namespace {

constexpr std::size_t max_replaced_runs = 64;

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

bool upstream_presence::is_newer(const announcement& it, core::time_point now) const
{
    if (it.service != service_ || it.address != address_)
        return false;
    if (!latest_)
        return true;
    if (it.id == latest_->id && it.started_at_ms == latest_->started_at_ms)
        return it.sequence > latest_->sequence;
    if (std::find(replaced_runs_.begin(), replaced_runs_.end(), run_key(it.id, it.started_at_ms))
        != replaced_runs_.end())
        return false;
    // The upstream's clock may have been set back between two runs, so an earlier start time alone does not make an
    // announcement late. A run with an earlier start time replaces the current run only if the current run has stopped
    // or has sent no announcement for more than 1.5 periods.
    return it.started_at_ms > latest_->started_at_ms || has_left_
        || now - last_announcement_at_ > period_ + period_ / 2;
}

bool upstream_presence::on_announcement(const announcement& it, core::time_point now)
{
    if (!is_newer(it, now))
        return false;
    const bool same_run = latest_ && latest_->id == it.id && latest_->started_at_ms == it.started_at_ms;
    if (!same_run) {
        if (latest_)
            replaced_runs_.emplace_back(latest_->id, latest_->started_at_ms);
        if (replaced_runs_.size() > max_replaced_runs)
            replaced_runs_.erase(replaced_runs_.begin());
        ++run_count_;
        has_left_ = false;
    }
    latest_ = it;
    last_announcement_at_ = now;
    cold_until_ = now + it.cold_start_remaining;
    return true;
}

void upstream_presence::on_departure(const std::string& id)
{
    if (latest_ && latest_->id == id)
        has_left_ = true;
}

presence upstream_presence::state(core::time_point now) const
{
    if (has_left_)
        return presence::left;
    if (!latest_ || now - last_announcement_at_ > max_missed_announcements * period_)
        return presence::absent;
    return latest_->draining ? presence::draining : presence::ready;
}

} // namespace ibisdyke::membership
