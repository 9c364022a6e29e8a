#pragma once

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

} // namespace ibisdyke::testing
