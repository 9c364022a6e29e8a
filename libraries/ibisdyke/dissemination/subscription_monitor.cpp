#include "ibisdyke/dissemination/subscription_monitor.h"

#include <algorithm>

namespace ibisdyke::dissemination {

core::milliseconds first_message_limit(const subscription_limits& limits, std::size_t failures)
{
    // Two walks through three control processes before the time is doubled.
    constexpr std::size_t tries_per_step = 6;
    constexpr std::size_t max_doublings = 8;
    const auto doublings = std::min(failures / tries_per_step, max_doublings);
    return std::min(limits.first_try * (std::int64_t{1} << doublings), limits.first_message);
}

void subscription_monitor::on_version(const core::version& version, core::time_point now)
{
    last_message_ = now;
    offered_ = offered_ ? std::max(*offered_, version) : version;
}

void subscription_monitor::on_keep_alive(const keep_alive& it, core::time_point now)
{
    on_version(it.latest, now);
    leader_contact_ = now - it.age;
}

void subscription_monitor::on_hint(const core::version& seen, core::time_point now)
{
    if (seen <= hint_)
        return;
    hint_ = seen;
    hinted_ = now;
}

subscription_state subscription_monitor::state(const core::version& applied, core::time_point now) const
{
    if (!offered_)
        return now - opened_ >= limits_.first_message ? subscription_state::silent : subscription_state::opening;
    if (now - last_message_ >= limits_.silence)
        return subscription_state::silent;
    constexpr core::version none;
    if (applied == none && *offered_ == none && now - opened_ >= limits_.first_message)
        return subscription_state::empty;
    if (hint_ > applied && now - hinted_ >= limits_.hint_patience)
        return subscription_state::behind;
    if (*offered_ < applied && now - opened_ >= limits_.catch_up)
        return subscription_state::behind;
    // The first keep-alive follows the first message; until it is due the feed gets the benefit of the doubt.
    const auto since = leader_contact_.value_or(opened_);
    return now - since >= limits_.max_age ? subscription_state::cut_off : subscription_state::current;
}

std::optional<core::milliseconds> subscription_monitor::age(core::time_point now) const
{
    if (!leader_contact_)
        return std::nullopt;
    return std::chrono::duration_cast<core::milliseconds>(now - *leader_contact_);
}

} // namespace ibisdyke::dissemination
