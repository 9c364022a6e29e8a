#include "ibisdyke/dissemination/subscription_monitor.h"

#include <algorithm>

namespace ibisdyke::dissemination {

core::milliseconds first_message_limit(const subscription_limits& limits, std::size_t failures, bool has_state)
{
    // Each of three control processes is tried twice before the time is doubled.
    constexpr std::size_t failures_per_doubling = 6;
    constexpr std::size_t max_doublings = 8;
    const auto doublings = std::min(failures / failures_per_doubling, max_doublings);
    const auto shortest = has_state ? limits.min_first_message_of_busy_source : limits.min_first_message;
    return std::min(shortest * (std::int64_t{1} << doublings), limits.max_first_message);
}

subscription_limits limits_after_failures(subscription_limits limits, std::size_t failures, bool has_state)
{
    const auto of_busy_source = first_message_limit(limits, failures, true);
    limits.max_first_message = first_message_limit(limits, failures, has_state);
    limits.min_first_message_of_busy_source = of_busy_source;
    return limits;
}

core::milliseconds delivery_limit(const subscription_limits& limits, std::size_t subscribers)
{
    constexpr core::milliseconds time_per_subscriber{2};
    const auto total = limits.delivery_timeout + time_per_subscriber * static_cast<std::int64_t>(subscribers);
    return std::min(total, limits.max_delivery_timeout);
}

void subscription_monitor::on_connected()
{
    limits_.max_first_message = std::max(limits_.max_first_message, limits_.min_first_message_of_busy_source);
}

void subscription_monitor::on_version(const core::version& version, core::time_point now)
{
    last_message_at_ = now;
    source_version_ = source_version_ ? std::max(*source_version_, version) : version;
}

void subscription_monitor::on_keep_alive(const keep_alive& it, core::time_point now)
{
    on_version(it.latest, now);
    leader_contact_ = now - it.age;
}

void subscription_monitor::on_version_seen(const core::version& seen, core::time_point now)
{
    if (seen <= seen_version_)
        return;
    seen_version_ = seen;
    seen_version_at_ = now;
}

subscription_state subscription_monitor::state(const core::version& applied, core::time_point now) const
{
    if (!source_version_)
        return now - opened_at_ >= limits_.max_first_message ? subscription_state::silent : subscription_state::opening;
    if (now - last_message_at_ >= limits_.silence_timeout)
        return subscription_state::silent;
    constexpr core::version no_version;
    if (applied == no_version && *source_version_ == no_version && now - opened_at_ >= limits_.max_first_message)
        return subscription_state::empty;
    if (seen_version_ > applied && now - seen_version_at_ >= limits_.delivery_timeout)
        return subscription_state::behind;
    if (*source_version_ < applied && now - opened_at_ >= limits_.catch_up_timeout)
        return subscription_state::behind;
    // The first keep-alive comes after the first message. Until then the time of opening counts as a confirmation.
    const auto confirmed_at = leader_contact_.value_or(opened_at_);
    return now - confirmed_at >= limits_.max_age ? subscription_state::cut_off : subscription_state::current;
}

std::optional<core::milliseconds> subscription_monitor::age(core::time_point now) const
{
    if (!leader_contact_)
        return std::nullopt;
    return std::chrono::duration_cast<core::milliseconds>(now - *leader_contact_);
}

} // namespace ibisdyke::dissemination
