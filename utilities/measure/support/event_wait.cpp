#include "measure/support/event_wait.h"

#include "measure/support/clock.h"

#include <QEventLoop>
#include <QTimer>

namespace ibisdyke::measure {

namespace {

constexpr core::milliseconds poll_interval{10};

} // namespace

bool wait_until(const std::function<bool()>& condition, core::milliseconds timeout)
{
    const auto end = read_clock() + timeout;
    QEventLoop loop;
    QTimer timer;
    QObject::connect(&timer, &QTimer::timeout, &loop, [&] {
        if (condition() || read_clock() >= end)
            loop.quit();
    });
    timer.start(poll_interval);
    if (!condition())
        loop.exec();
    return condition();
}

} // namespace ibisdyke::measure
