#pragma once

#include "ibisdyke/core/time.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <map>

namespace ibisdyke::measure {

/// Runs tasks at their due times on the thread that created the queue. Tasks with the same due time run in the order in
/// which they were added.
class delay_queue : public QObject {
public:
    explicit delay_queue(QObject* parent);

    void add(core::time_point due, std::function<void()> task);

private:
    void run_due();
    /// Starts the timer for the earliest task, if there is any.
    void schedule_next();

    std::multimap<core::time_point, std::function<void()>> tasks_;
    QTimer timer_;
};

} // namespace ibisdyke::measure
