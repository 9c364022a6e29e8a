#include "measure/support/delay_queue.h"

#include "measure/support/clock.h"

#include <algorithm>
#include <utility>

namespace ibisdyke::measure {

delay_queue::delay_queue(QObject* parent)
    : QObject(parent)
    , timer_(this)
{
    timer_.setTimerType(Qt::PreciseTimer);
    timer_.setSingleShot(true);
    connect(&timer_, &QTimer::timeout, this, &delay_queue::run_due);
}

void delay_queue::add(core::time_point due, std::function<void()> task)
{
    const auto position = tasks_.emplace(due, std::move(task));
    if (position == tasks_.begin())
        schedule_next();
}

void delay_queue::run_due()
{
    const auto now = read_clock();
    while (!tasks_.empty() && tasks_.begin()->first <= now) {
        const auto task = std::move(tasks_.begin()->second);
        tasks_.erase(tasks_.begin());
        task();
    }
    schedule_next();
}

void delay_queue::schedule_next()
{
    if (tasks_.empty())
        return;
    const auto wait = std::chrono::ceil<core::milliseconds>(tasks_.begin()->first - read_clock());
    timer_.start(std::max(wait, core::milliseconds{0}));
}

} // namespace ibisdyke::measure
