#include "ibisdyke/admission/load_limit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace ibisdyke::admission {

namespace {

/// Factor by which a refusal reduces the adaptive limit.
constexpr double decrease_factor = 0.7;

} // namespace

load_limit::load_limit(const admission_settings& settings)
    : slots_(std::max<std::uint32_t>(settings.slots, 1))
    , initial_share_(settings.cold_start_share)
    , ramp_(settings.cold_start_ramp)
    , full_flows_per_second_(settings.full_flows_per_second)
    , adaptive_limit_(slots_)
{
}

void load_limit::configure(const admission_settings& settings)
{
    const auto slots = std::max<std::uint32_t>(settings.slots, 1);
    if (slots != slots_)
        adaptive_limit_ = slots;
    slots_ = slots;
    initial_share_ = settings.cold_start_share;
    ramp_ = settings.cold_start_ramp;
    full_flows_per_second_ = settings.full_flows_per_second;
}

void load_limit::begin_cold_start(core::time_point now)
{
    ramp_start_ = now;
    adaptive_limit_ = slots_;
}

void load_limit::on_answer(std::chrono::nanoseconds latency, core::time_point now)
{
    if (!detector_.add(latency))
        return;
    if (in_cold_start(now))
        halve_share(now);
    else
        begin_cold_start(now);
}

void load_limit::on_finish(work_outcome outcome, std::uint32_t running, core::time_point now)
{
    switch (outcome) {
    case work_outcome::answered:
        // Additive increase: the limit grows by about one slot per `adaptive_limit_` answers.
        adaptive_limit_ = std::min<double>(slots_, adaptive_limit_ + 1 / std::max(adaptive_limit_, 1.0));
        return;
    case work_outcome::refused:
        if (in_cold_start(now))
            halve_share(now);
        else
            begin_cold_start(now);
        adaptive_limit_ =
            std::clamp(std::min<double>(adaptive_limit_, running) * decrease_factor, 1.0, double{1} * slots_);
        return;
    case work_outcome::connection_lost:
        begin_cold_start(now);
        return;
    case work_outcome::failed:
    case work_outcome::cancelled:
        return;
    }
}

std::uint32_t load_limit::current(core::time_point now) const
{
    const auto ramped = std::floor(share(now) * slots_);
    const auto limit = std::min({double{1} * slots_, ramped, std::floor(adaptive_limit_)});
    return static_cast<std::uint32_t>(std::max(limit, 1.0));
}

double load_limit::share(core::time_point now) const
{
    if (!ramp_start_ || ramp_ <= core::milliseconds::zero())
        return 1;
    const std::chrono::duration<double> elapsed = now - *ramp_start_;
    const auto progress = std::clamp(elapsed / std::chrono::duration<double>(ramp_), 0.0, 1.0);
    return initial_share_ + (1 - initial_share_) * progress;
}

double load_limit::flows_per_second(core::time_point now) const
{
    if (!in_cold_start(now))
        return std::numeric_limits<double>::infinity();
    return share(now) * full_flows_per_second_;
}

// Moves the ramp back to half of its current share, but not below the initial share. When the upstream refuses requests
// or becomes slow during the ramp, the load is near its capacity, so restarting the ramp would waste capacity.
void load_limit::halve_share(core::time_point now)
{
    const auto target = std::max(initial_share_, share(now) / 2);
    const auto progress = initial_share_ < 1 ? (target - initial_share_) / (1 - initial_share_) : 1;
    const auto elapsed = std::chrono::duration<double>(ramp_) * progress;
    ramp_start_ = now - std::chrono::duration_cast<core::time_point::duration>(elapsed);
}

} // namespace ibisdyke::admission
