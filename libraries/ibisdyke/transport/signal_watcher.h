#pragma once

#include "ibisdyke/core/time.h"

#include <QObject>

#include <functional>

class QSocketNotifier;

namespace ibisdyke::transport {

/// Runs callbacks for SIGTERM and SIGINT (stop), SIGUSR1 (dump) and SIGHUP (reload) on the thread that created it. A
/// process has at most one. Because it blocks these signals, it must be created before any other thread, unless
/// block_signals() was called first.
class signal_watcher : public QObject {
public:
    /// Throws core::system_failure when the signals cannot be watched.
    signal_watcher(
        std::function<void()> on_stop, std::function<void()> on_dump, std::function<void()> on_reload, QObject* parent);

    /// Blocks the watched signals in the calling thread and in all threads that it creates later. A program that starts
    /// other threads before it creates its signal_watcher must call this first, because a signal that is unblocked in
    /// any thread ends the process. Throws core::system_failure.
    static void block_signals();

    /// Waits up to `timeout` for SIGTERM or SIGINT and returns whether one has arrived. Used while there is no
    /// signal_watcher yet. The signals must be blocked. Throws core::system_failure.
    static bool wait_for_stop(core::milliseconds timeout);

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
