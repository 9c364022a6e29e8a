#include "ibisdyke/routing/pending_requests.h"

#include <algorithm>

namespace ibisdyke::routing {

namespace {

constexpr std::uint32_t per_mille = 1000;

/// A new sample contributes 1 / average_divisor to the moving average of service times.
constexpr int average_divisor = 16;

/// A request is overdue after this many service times, but not before min_overdue_time, because a queue at the upstream
/// is not a failure.
constexpr int overdue_factor = 10;
constexpr std::chrono::milliseconds min_overdue_time{500};

/// A response that comes sooner than this part of the expected time although the request had to wait says that the
/// upstream has shed the request. It must not count as a service time: the estimate would fall while the upstream
/// sheds, and the agent would send it ever more requests.
constexpr int shed_divisor = 4;

/// Returns the response time of a request behind a queue of `queue_per_mille` thousandths of the slots.
std::chrono::nanoseconds add_queue_time(std::chrono::nanoseconds service_time, std::uint32_t queue_per_mille)
{
    return service_time * (per_mille + queue_per_mille) / per_mille;
}

/// Returns the service time of a request that began behind a queue of `queue_per_mille` thousandths of the slots.
std::chrono::nanoseconds without_queue_time(std::chrono::nanoseconds response_time, std::uint32_t queue_per_mille)
{
    return response_time * per_mille / (per_mille + queue_per_mille);
}

} // namespace

void pending_requests::start(const flow_key& flow, core::time_point now, request_state state)
{
    const request started{now, state, queue_per_mille()};
    if (requests_.insert_or_assign(flow, started).second)
        expiry_checks_.emplace_back(now, flow);
    overdue_checks_.emplace_back(now, flow);
    if (state == request_state::expected)
        expected_checks_.emplace_back(now, flow);
    update_busy_since(now);
}

std::optional<std::chrono::nanoseconds> pending_requests::cancel(const flow_key& flow, core::time_point now)
{
    const auto it = requests_.find(flow);
    if (it == requests_.end())
        return std::nullopt;
    const auto removed = it->second;
    requests_.erase(it);
    update_busy_since(now);
    if (removed.state != request_state::sent)
        return std::nullopt;
    return without_queue_time(now - removed.since, removed.queue_per_mille);
}

std::size_t pending_requests::take_overdue_count(core::time_point now)
{
    const auto overdue_time =
        std::max<std::chrono::nanoseconds>(min_overdue_time, service_time_.value_or(min_overdue_time) * overdue_factor);
    std::size_t result = 0;
    for (; !overdue_checks_.empty() && now - overdue_checks_.front().first >= overdue_time;
         overdue_checks_.pop_front()) {
        const auto& [since, flow] = overdue_checks_.front();
        const auto it = requests_.find(flow);
        // A later packet of the flow restarts the request, which then has another entry in overdue_checks_.
        if (it != requests_.end() && it->second.since == since && it->second.state == request_state::sent)
            ++result;
    }
    return result;
}

void pending_requests::update_busy_since(core::time_point now)
{
    if (queue_per_mille() == 0)
        busy_since_.reset();
    else if (!busy_since_)
        busy_since_ = now;
}

std::optional<std::chrono::nanoseconds> pending_requests::complete(const flow_key& flow, core::time_point now)
{
    const auto it = requests_.find(flow);
    if (it == requests_.end())
        return std::nullopt;
    const std::chrono::nanoseconds response_time = now - it->second.since;
    const auto queue = it->second.queue_per_mille;
    if (is_shed(response_time, queue)) {
        requests_.erase(it);
        update_busy_since(now);
        return std::nullopt;
    }
    const auto sample = without_queue_time(response_time, queue);
    service_time_ = service_time_ ? *service_time_ + (sample - *service_time_) / average_divisor : sample;
    requests_.erase(it);
    update_busy_since(now);
    return sample;
}

bool pending_requests::is_shed(std::chrono::nanoseconds response_time, std::uint32_t queue_per_mille) const
{
    return service_time_ && queue_per_mille > 0
        && response_time * shed_divisor < add_queue_time(*service_time_, queue_per_mille);
}

/// Removes the requests that the callers have not sent in time.
void pending_requests::remove_unsent(core::time_point now)
{
    for (; !expected_checks_.empty() && now - expected_checks_.front().first >= max_expected_age;
         expected_checks_.pop_front()) {
        const auto& [since, flow] = expected_checks_.front();
        const auto it = requests_.find(flow);
        if (it != requests_.end() && it->second.since == since && it->second.state == request_state::expected)
            requests_.erase(it);
    }
}

void pending_requests::remove_expired(core::time_point now)
{
    remove_unsent(now);
    while (!expiry_checks_.empty() && now - expiry_checks_.front().first >= max_age) {
        const auto flow = expiry_checks_.front().second;
        expiry_checks_.pop_front();
        const auto it = requests_.find(flow);
        if (it == requests_.end())
            continue;
        if (now - it->second.since >= max_age)
            requests_.erase(it);
        else
            expiry_checks_.emplace_back(it->second.since, flow);
    }
    update_busy_since(now);
}

std::uint32_t pending_requests::queue_per_mille() const
{
    const auto busy = static_cast<std::uint32_t>(requests_.size());
    if (slots_ == 0 || busy < slots_)
        return 0;
    return (busy - slots_ + 1) * per_mille / slots_;
}

std::chrono::nanoseconds pending_requests::expected_response_time(std::chrono::nanoseconds assumed_service_time) const
{
    return add_queue_time(service_time_.value_or(assumed_service_time), queue_per_mille());
}

} // namespace ibisdyke::routing
