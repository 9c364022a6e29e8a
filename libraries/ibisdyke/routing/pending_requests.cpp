#include "ibisdyke/routing/pending_requests.h"

#include <algorithm>

namespace ibisdyke::routing {

namespace {

constexpr std::uint32_t per_mille = 1000;

/// The share of a new sample in the moving average of service times.
constexpr int sample_divisor = 16;

/// A request is overdue after this many service times, but not before min_patience: a queue at the upstream is no
/// failure.
constexpr int patience_factor = 10;
constexpr std::chrono::milliseconds min_patience{500};

/// Returns how long a request takes when `waiting` thousandths of the slots are before it.
std::chrono::nanoseconds with_wait(std::chrono::nanoseconds service_time, std::uint32_t waiting)
{
    return service_time * (per_mille + waiting) / per_mille;
}

} // namespace

void pending_requests::begin(const flow_key& flow, core::time_point now, request_state state)
{
    const request begun{now, state, waiting()};
    if (requests_.insert_or_assign(flow, begun).second)
        order_.emplace_back(now, flow);
    unjudged_.emplace_back(now, flow);
    note_slots(now);
}

bool pending_requests::forget(const flow_key& flow, core::time_point now)
{
    const auto it = requests_.find(flow);
    if (it == requests_.end())
        return false;
    const bool owed = it->second.state == request_state::sent;
    requests_.erase(it);
    note_slots(now);
    return owed;
}

std::size_t pending_requests::take_overdue(core::time_point now)
{
    const auto patience =
        std::max<std::chrono::nanoseconds>(min_patience, service_time_.value_or(min_patience) * patience_factor);
    std::size_t result = 0;
    for (; !unjudged_.empty() && now - unjudged_.front().first >= patience; unjudged_.pop_front()) {
        const auto& [since, flow] = unjudged_.front();
        const auto it = requests_.find(flow);
        // A later packet of the same request begins it anew.
        if (it != requests_.end() && it->second.since == since && it->second.state == request_state::sent)
            ++result;
    }
    return result;
}

void pending_requests::note_slots(core::time_point now)
{
    if (waiting() == 0)
        busy_since_.reset();
    else if (!busy_since_)
        busy_since_ = now;
}

bool pending_requests::answer(const flow_key& flow, core::time_point now)
{
    const auto it = requests_.find(flow);
    if (it == requests_.end())
        return false;
    const std::chrono::nanoseconds taken = now - it->second.since;
    const auto sample = taken * per_mille / (per_mille + it->second.waiting);
    service_time_ = service_time_ ? *service_time_ + (sample - *service_time_) / sample_divisor : sample;
    requests_.erase(it);
    note_slots(now);
    return true;
}

void pending_requests::expire(core::time_point now)
{
    while (!order_.empty() && now - order_.front().first >= memory) {
        const auto flow = order_.front().second;
        order_.pop_front();
        const auto it = requests_.find(flow);
        if (it == requests_.end())
            continue;
        if (now - it->second.since >= memory)
            requests_.erase(it);
        else
            order_.emplace_back(it->second.since, flow);
    }
    note_slots(now);
}

std::uint32_t pending_requests::waiting() const
{
    const auto busy = static_cast<std::uint32_t>(requests_.size());
    if (slots_ == 0 || busy < slots_)
        return 0;
    return (busy - slots_ + 1) * per_mille / slots_;
}

std::optional<std::chrono::nanoseconds> pending_requests::expected_time() const
{
    if (!service_time_)
        return std::nullopt;
    return with_wait(*service_time_, waiting());
}

} // namespace ibisdyke::routing
