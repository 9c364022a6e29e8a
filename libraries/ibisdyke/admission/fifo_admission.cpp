#include "ibisdyke/admission/fifo_admission.h"

#include <algorithm>
#include <limits>

namespace ibisdyke::admission {

std::unique_ptr<admission_policy> fifo_admission::create(std::uint32_t slots, std::uint32_t queue_limit)
{
    return std::make_unique<fifo_admission>(slots, queue_limit);
}

fifo_admission::fifo_admission(std::uint32_t slots, std::uint32_t queue_limit)
    : slots_(slots)
    , queue_limit_(queue_limit)
{
}

void fifo_admission::configure(const admission_settings& settings, core::time_point)
{
    slots_ = settings.slots;
}

admission_decision fifo_admission::offer(const work& it, core::time_point now)
{
    if (running_.size() >= slots_ && waiting_.size() >= queue_limit_)
        return {{}, {it.id}};
    waiting_.push_back(it.id);
    return advance(now);
}

admission_decision fifo_admission::finish(work_id id, work_outcome, core::time_point now)
{
    running_.erase(id);
    return advance(now);
}

admission_decision fifo_admission::withdraw(work_id id, core::time_point now)
{
    waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), id), waiting_.end());
    return advance(now);
}

admission_decision fifo_admission::advance(core::time_point)
{
    admission_decision result;
    while (running_.size() < slots_ && !waiting_.empty()) {
        result.start.push_back(waiting_.front());
        running_.insert(waiting_.front());
        waiting_.pop_front();
    }
    return result;
}

double fifo_admission::flows_per_second(core::time_point) const
{
    return std::numeric_limits<double>::infinity();
}

admission_status fifo_admission::status(core::time_point) const
{
    return {slots_, static_cast<std::uint32_t>(running_.size()), static_cast<std::uint32_t>(waiting_.size()), false};
}

} // namespace ibisdyke::admission
