#include "ibisdyke/admission/fair_queue.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace ibisdyke::admission {

namespace {

/// Weight of the newest sample in the moving mean of slot times.
constexpr double slot_time_smoothing = 0.1;

} // namespace

void fair_queue::configure(const admission_settings& settings)
{
    policies_ = settings.neighbours;
    capacity_ = std::max<std::uint32_t>(1, settings.queue_per_slot * settings.slots);
    age_limit_ = settings.queue_age_limit;
    for (auto& [name, it] : neighbours_) {
        const auto found = policies_.find(name);
        it.policy = found == policies_.end() ? neighbour_policy{} : found->second;
    }
}

bool fair_queue::take_token(const core::neighbour& neighbour, core::time_point now)
{
    auto& it = find_or_create(neighbour);
    if (it.policy.requests_per_second <= 0)
        return true;
    // The bucket holds the burst and one more token, because a limit without burst must still admit single requests.
    const auto capacity = 1 + it.policy.burst;
    if (!it.refilled_at) {
        it.tokens = capacity;
    } else {
        const std::chrono::duration<double> elapsed = now - *it.refilled_at;
        it.tokens = std::min(capacity, it.tokens + elapsed.count() * it.policy.requests_per_second);
    }
    it.refilled_at = now;
    if (it.tokens < 1)
        return false;
    it.tokens -= 1;
    return true;
}

std::optional<work_id> fair_queue::push(const work& it, core::time_point now)
{
    auto& owner = find_or_create(it.neighbour);
    if (owner.waiting.empty() && owner.running == 0)
        limit_idle_credit(owner);
    owner.waiting.push_back({it, now, std::min(now + age_limit_, it.deadline)});
    ++size_;
    if (size_ <= capacity_)
        return std::nullopt;
    return drop_from_largest_backlog();
}

std::optional<work> fair_queue::pop(core::time_point now)
{
    neighbour_state* next = nullptr;
    for (auto& [name, it] : neighbours_) {
        if (!it.waiting.empty() && (next == nullptr || it.weighted_usage_ms < next->weighted_usage_ms))
            next = &it;
    }
    if (next == nullptr)
        return std::nullopt;
    // Under overload the oldest requests have little time left until their deadline. The newest ones can still be
    // answered in time.
    const auto overloaded = 2 * size_ > capacity_ || now - next->waiting.front().queued_at > age_limit_ / 2;
    waiting_request result;
    if (overloaded) {
        result = std::move(next->waiting.back());
        next->waiting.pop_back();
    } else {
        result = std::move(next->waiting.front());
        next->waiting.pop_front();
    }
    --size_;
    ++next->running;
    next->weighted_usage_ms += next->mean_slot_time_ms / next->policy.weight;
    return std::move(result.request);
}

std::vector<work_id> fair_queue::expire(core::time_point now)
{
    std::vector<work_id> result;
    for (auto& [name, it] : neighbours_) {
        const auto expired = std::stable_partition(it.waiting.begin(), it.waiting.end(),
            [now](const waiting_request& waiting) { return waiting.expires_at > now; });
        for (auto old = expired; old != it.waiting.end(); ++old)
            result.push_back(old->request.id);
        it.waiting.erase(expired, it.waiting.end());
    }
    size_ -= static_cast<std::uint32_t>(result.size());
    return result;
}

bool fair_queue::remove(work_id id)
{
    for (auto& [name, it] : neighbours_) {
        const auto found = std::find_if(it.waiting.begin(), it.waiting.end(),
            [id](const waiting_request& waiting) { return waiting.request.id == id; });
        if (found == it.waiting.end())
            continue;
        it.waiting.erase(found);
        --size_;
        return true;
    }
    return false;
}

void fair_queue::record_slot_time(const core::neighbour& neighbour, std::chrono::nanoseconds used)
{
    auto& it = find_or_create(neighbour);
    const auto used_ms = std::chrono::duration<double, std::milli>(used).count();
    it.weighted_usage_ms += (used_ms - it.mean_slot_time_ms) / it.policy.weight;
    it.mean_slot_time_ms += slot_time_smoothing * (used_ms - it.mean_slot_time_ms);
    if (it.running > 0)
        --it.running;
}

std::optional<core::time_point> fair_queue::next_expiry() const
{
    std::optional<core::time_point> result;
    for (const auto& [name, it] : neighbours_) {
        for (const auto& waiting : it.waiting)
            result = result ? std::min(*result, waiting.expires_at) : waiting.expires_at;
    }
    return result;
}

fair_queue::neighbour_state& fair_queue::find_or_create(const core::neighbour& neighbour)
{
    const auto [it, created] = neighbours_.try_emplace(neighbour);
    if (created) {
        const auto policy = policies_.find(neighbour);
        if (policy != policies_.end())
            it->second.policy = policy->second;
    }
    return it->second;
}

// Raises the usage of a neighbour that was idle to the lowest usage among the active neighbours. Otherwise it could use
// the whole upstream for as long as it was idle.
void fair_queue::limit_idle_credit(neighbour_state& idle) const
{
    auto least = std::numeric_limits<double>::infinity();
    for (const auto& [name, it] : neighbours_) {
        if (&it != &idle && (!it.waiting.empty() || it.running > 0))
            least = std::min(least, it.weighted_usage_ms);
    }
    if (least < std::numeric_limits<double>::infinity())
        idle.weighted_usage_ms = std::max(idle.weighted_usage_ms, least);
}

std::optional<work_id> fair_queue::drop_from_largest_backlog()
{
    neighbour_state* largest = nullptr;
    const auto weighted_backlog = [](const neighbour_state& it) {
        return static_cast<double>(it.waiting.size()) / static_cast<double>(it.policy.weight);
    };
    for (auto& [name, it] : neighbours_) {
        if (!it.waiting.empty() && (largest == nullptr || weighted_backlog(it) > weighted_backlog(*largest)))
            largest = &it;
    }
    if (largest == nullptr)
        return std::nullopt;
    const auto id = largest->waiting.front().request.id;
    largest->waiting.pop_front();
    --size_;
    return id;
}

} // namespace ibisdyke::admission
