#include "ibisdyke/admission/share_admission.h"

#include <utility>

namespace ibisdyke::admission {

std::unique_ptr<admission_policy> share_admission::create(const admission_settings& settings)
{
    return std::make_unique<share_admission>(settings);
}

share_admission::share_admission(const admission_settings& settings)
    : limit_(settings)
{
    queue_.configure(settings);
}

void share_admission::configure(const admission_settings& settings, core::time_point)
{
    limit_.configure(settings);
    queue_.configure(settings);
}

void share_admission::begin_cold_start(core::time_point now)
{
    limit_.begin_cold_start(now);
}

admission_decision share_admission::offer(const work& it, core::time_point now)
{
    if (it.deadline <= now || !queue_.take_token(it.neighbour, now))
        return {{}, {it.id}};
    // A request passes through the queue even when a slot is free, so that the queue charges every started request.
    // Free slots are filled before the request is added: otherwise a full queue could shed a request that can start.
    auto result = advance(now);
    const auto dropped = queue_.push(it, now);
    if (dropped)
        result.shed.push_back(*dropped);
    auto started = advance(now);
    result.start.insert(result.start.end(), started.start.begin(), started.start.end());
    return result;
}

void share_admission::on_answer(work_id id, core::time_point now)
{
    const auto it = running_.find(id);
    if (it != running_.end())
        limit_.on_answer(now - it->second.started_at, now);
}

admission_decision share_admission::finish(work_id id, work_outcome outcome, core::time_point now)
{
    const auto it = running_.find(id);
    if (it == running_.end())
        return {};
    limit_.on_finish(outcome, static_cast<std::uint32_t>(running_.size()), now);
    queue_.record_slot_time(it->second.neighbour, now - it->second.started_at);
    running_.erase(it);
    return advance(now);
}

admission_decision share_admission::withdraw(work_id id, core::time_point now)
{
    queue_.remove(id);
    return advance(now);
}

admission_decision share_admission::advance(core::time_point now)
{
    admission_decision result;
    result.shed = queue_.expire(now);
    while (running_.size() < limit_.current(now)) {
        const auto next = queue_.pop(now);
        if (!next)
            break;
        running_.emplace(next->id, running_work{next->neighbour, now});
        result.start.push_back(next->id);
    }
    return result;
}

admission_status share_admission::status(core::time_point now) const
{
    return {limit_.current(now), static_cast<std::uint32_t>(running_.size()), queue_.size(), limit_.in_cold_start(now)};
}

} // namespace ibisdyke::admission
