#pragma once

#include <QElapsedTimer>
#include <QEventLoop>
#include <QTimer>

#include <chrono>

namespace ibisdyke::testing {

/// Runs the event loop of this thread for the given time. QCoreApplication::processEvents() with a time limit returns
/// at once when no event is pending, so a loop around it would spin.
inline void run_event_loop(std::chrono::milliseconds duration)
{
    QEventLoop loop;
    QTimer::singleShot(duration, &loop, &QEventLoop::quit);
    loop.exec();
}

/// Runs the event loop of this thread until the condition holds or the limit has passed. Returns whether it holds.
template <typename Condition>
bool wait_for(Condition condition, std::chrono::milliseconds limit)
{
    constexpr std::chrono::milliseconds check_interval{5};
    QElapsedTimer timer;
    timer.start();
    while (!condition() && timer.elapsed() < limit.count())
        run_event_loop(check_interval);
    return condition();
}

} // namespace ibisdyke::testing
