#pragma once

#include "ibisdyke/core/time.h"

#include <QObject>

#include <functional>

class QSocketNotifier;

namespace ibisdyke::transport {

/// Turns SIGTERM and SIGINT (stop) and SIGUSR1 (dump) into calls on the thread that created it. One per process,
/// created before any other thread, because it blocks these signals.
class signal_watcher : public QObject {
public:
    /// Throws core::system_failure when the signals cannot be watched.
    signal_watcher(
        std::function<void()> on_stop, std::function<void()> on_dump, std::function<void()> on_reload, QObject* parent);

    /// Blocks the watched signals in the calling thread and in all threads that it creates later. A program that has
    /// other threads before its signal_watcher calls this first: a signal that any thread does not block ends the
    /// process. Throws core::system_failure.
    static void block_signals();

    /// Waits for a signal to stop, before there is a signal_watcher; at most for `limit`. Returns whether one has come.
    /// The signals must be blocked. Throws core::system_failure.
    static bool wait_for_stop(core::milliseconds limit);

    ~signal_watcher() override;
    signal_watcher(const signal_watcher&) = delete;
    signal_watcher& operator=(const signal_watcher&) = delete;
    signal_watcher(signal_watcher&&) = delete;
    signal_watcher& operator=(signal_watcher&&) = delete;

private:
    void read_signal();

    std::function<void()> on_stop_;
    std::function<void()> on_dump_;
    std::function<void()> on_reload_;
    int descriptor_ = -1;
    QSocketNotifier* notifier_ = nullptr;
};

} // namespace ibisdyke::transport
