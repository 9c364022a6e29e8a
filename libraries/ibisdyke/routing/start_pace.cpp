#include "ibisdyke/routing/start_pace.h"

#include <algorithm>
#include <utility>

namespace ibisdyke::routing {

namespace {

constexpr std::uint32_t per_mille = 1000;

/// Minimum responses of a round. With fewer, the mean of a round follows single requests.
constexpr std::uint32_t min_round_responses = 4;

/// A round is fast up to this percentage of the best mean service time, and slow from slow_percent on. In between, the
/// limit stays as it is. The distance covers the variation between the requests of a round.
constexpr int fast_percent = 150;
constexpr int slow_percent = 250;

/// A mean service time below this percentage of the best one so far is an improvement.
constexpr int improvement_percent = 80;

/// The share of a route's latency target that a service time may reach in a fast round. The rest covers the network and
/// the wait for a slot.
constexpr int upstream_time_percent = 50;

/// The share of the latency target that a request is taken to need before the first round of responses, and the time
/// without a latency target.
constexpr int assumed_service_percent = 25;
constexpr core::milliseconds default_service_time{25};

std::uint32_t initial_limit(std::uint32_t slots)
{
    return std::clamp(slots / 2, std::uint32_t{1}, start_pace::max_initial_limit);
}

bool is_fast(std::chrono::nanoseconds mean, std::chrono::nanoseconds best, core::milliseconds latency_target)
{
    const bool is_expected =
        latency_target == core::milliseconds{0} || mean <= latency_target * upstream_time_percent / 100;
    return is_expected && mean <= best * fast_percent / 100;
}

} // namespace

std::string_view to_string(start_cause it)
{
    switch (it) {
    case start_cause::new_run:
        return "new_run";
    case start_cause::readmission:
        return "readmission";
    case start_cause::recovery:
        break;
    }
    return "recovery";
}

std::string_view to_string(start_outcome it)
{
    switch (it) {
    case start_outcome::full_pace:
        return "full_pace";
    case start_outcome::settled:
        return "settled";
    case start_outcome::expired:
        return "expired";
    case start_outcome::aborted:
        break;
    }
    return "aborted";
}

void start_pace::update(const upstream_condition& upstream, core::time_point now)
{
    if (run_ != upstream.run)
        next_cause_ = start_cause::new_run;
    else if (!upstream.accepts_new_flows && !next_cause_)
        next_cause_ = start_cause::readmission;
    else if (upstream.failing && !next_cause_)
        next_cause_ = start_cause::recovery;
    run_ = upstream.run;
    const bool is_paced = upstream.is_paced && upstream.slots > 0;
    if (start_ && (next_cause_ || !is_paced))
        end(start_outcome::aborted, now);
    if (start_ && start_->first_flow && now - *start_->first_flow >= max_duration)
        end(start_outcome::expired, now);
    if (!next_cause_ || !upstream.accepts_new_flows || upstream.failing)
        return;
    const auto cause = *std::exchange(next_cause_, std::nullopt);
    if (is_paced)
        begin(cause, upstream.slots, now);
}

void start_pace::begin(start_cause cause, std::uint32_t slots, core::time_point now)
{
    start_.emplace();
    start_->cause = cause;
    start_->since = now;
    start_->slots = slots;
    start_->limit = initial_limit(slots);
    start_->interval_begin = now;
    add_event(std::nullopt, now);
}

void start_pace::end(start_outcome outcome, core::time_point now)
{
    add_event(outcome, now);
    start_.reset();
}

void start_pace::record_offered_flow(std::size_t in_progress, core::milliseconds latency_target, core::time_point now)
{
    if (!start_)
        return;
    const bool has_target = start_->latency_target > core::milliseconds{0};
    if (latency_target > core::milliseconds{0})
        start_->latency_target = has_target ? std::min(start_->latency_target, latency_target) : latency_target;
    if (in_progress < start_->slots && flows_in_interval(now) >= start_->limit)
        start_->round.was_flow_limited = true;
}

void start_pace::record_new_flow(core::time_point now)
{
    if (!start_)
        return;
    if (flows_in_interval(now) == 0) {
        start_->interval_begin = now;
        start_->interval_flows = 0;
    }
    if (!start_->first_flow)
        start_->first_flow = now;
    ++start_->interval_flows;
    ++start_->flows;
}

std::uint32_t start_pace::flows_in_interval(core::time_point now) const
{
    std::chrono::nanoseconds assumed = default_service_time;
    if (start_->latency_target > core::milliseconds{0})
        assumed = start_->latency_target * assumed_service_percent / 100;
    return now - start_->interval_begin < start_->last_mean.value_or(assumed) ? start_->interval_flows : 0;
}

void start_pace::record_response(std::chrono::nanoseconds service_time, core::time_point now)
{
    if (!start_)
        return;
    ++start_->responses;
    ++start_->round.responses;
    start_->round.total_time += service_time;
    if (start_->round.responses >= std::max(start_->limit, min_round_responses))
        end_round(now);
}

void start_pace::record_failure()
{
    if (!start_)
        return;
    ++start_->failures;
    ++start_->round.failures;
    start_->limit = std::max(start_->limit / 2, std::uint32_t{1});
}

void start_pace::end_round(core::time_point now)
{
    const auto round = std::exchange(start_->round, {});
    const auto mean = round.total_time / round.responses;
    const bool has_improved = !start_->best_mean || mean < *start_->best_mean * improvement_percent / 100;
    start_->rounds_without_improvement = has_improved ? 0 : start_->rounds_without_improvement + 1;
    start_->last_mean = mean;
    start_->best_mean = std::min(mean, start_->best_mean.value_or(mean));
    if (round.failures == 0 && is_fast(mean, *start_->best_mean, start_->latency_target)) {
        if (start_->limit >= start_->slots && !round.was_flow_limited)
            return end(start_outcome::full_pace, now);
        start_->limit = std::min(start_->limit * 2, start_->slots);
    } else if (mean > *start_->best_mean * slow_percent / 100) {
        start_->limit = std::max(start_->limit / 2, std::uint32_t{1});
    }
    if (start_->rounds_without_improvement >= max_rounds_without_improvement)
        end(start_outcome::settled, now);
}

std::uint32_t start_pace::excess_per_mille(std::size_t in_progress, core::time_point now) const
{
    if (!start_)
        return 0;
    const auto used = std::max(static_cast<std::uint32_t>(in_progress), flows_in_interval(now));
    return used < start_->limit ? 0 : (used - start_->limit + 1) * per_mille / start_->slots;
}

std::optional<std::uint32_t> start_pace::limit() const
{
    return start_ ? std::optional(start_->limit) : std::nullopt;
}

void start_pace::add_event(std::optional<start_outcome> outcome, core::time_point now)
{
    if (events_.size() >= max_events)
        events_.erase(events_.begin());
    events_.push_back({.cause = start_->cause,
        .outcome = outcome,
        .duration = std::chrono::duration_cast<core::milliseconds>(now - start_->since),
        .limit = start_->limit,
        .slots = start_->slots,
        .flows = start_->flows,
        .responses = start_->responses,
        .failures = start_->failures,
        .service_time = start_->last_mean.value_or(std::chrono::nanoseconds{0}),
        .best_service_time = start_->best_mean.value_or(std::chrono::nanoseconds{0})});
}

std::vector<start_event> start_pace::take_events()
{
    return std::exchange(events_, {});
}

} // namespace ibisdyke::routing
