#include "ibisdyke/transport/signal_watcher.h"

#include "ibisdyke/core/error.h"

#include <QSocketNotifier>

#include <csignal>
#include <poll.h>
#include <sys/signalfd.h>
#include <unistd.h>
#include <utility>

namespace ibisdyke::transport {

namespace {

sigset_t watched_signals()
{
    sigset_t result;
    sigemptyset(&result);
    sigaddset(&result, SIGTERM);
    sigaddset(&result, SIGINT);
    sigaddset(&result, SIGUSR1);
    sigaddset(&result, SIGHUP);
    return result;
}

} // namespace

void signal_watcher::block_signals()
{
    const auto watched = watched_signals();
    if (pthread_sigmask(SIG_BLOCK, &watched, nullptr) != 0)
        throw core::system_failure("cannot block signals");
}

bool signal_watcher::wait_for_stop(core::milliseconds timeout)
{
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGTERM);
    sigaddset(&stop_signals, SIGINT);
    const int descriptor = signalfd(-1, &stop_signals, SFD_NONBLOCK | SFD_CLOEXEC);
    if (descriptor < 0)
        throw core::system_failure("cannot watch signals");
    pollfd poll_entry{descriptor, POLLIN, 0};
    const int ready = poll(&poll_entry, 1, static_cast<int>(timeout.count()));
    close(descriptor);
    return ready > 0;
}

signal_watcher::signal_watcher(
    std::function<void()> on_stop, std::function<void()> on_dump, std::function<void()> on_reload, QObject* parent)
    : QObject(parent)
    , on_stop_(std::move(on_stop))
    , on_dump_(std::move(on_dump))
    , on_reload_(std::move(on_reload))
{
    block_signals();
    const auto watched = watched_signals();
    descriptor_ = signalfd(-1, &watched, SFD_NONBLOCK | SFD_CLOEXEC);
    if (descriptor_ < 0)
        throw core::system_failure("cannot watch signals");
    notifier_ = new QSocketNotifier(descriptor_, QSocketNotifier::Read, this);
    connect(notifier_, &QSocketNotifier::activated, this, &signal_watcher::read_signal);
}

signal_watcher::~signal_watcher()
{
    // The notifier must not outlive its descriptor.
    delete notifier_;
    close(descriptor_);
}

void signal_watcher::read_signal()
{
    signalfd_siginfo info{};
    if (read(descriptor_, &info, sizeof(info)) != static_cast<ssize_t>(sizeof(info)))
        return;
    if (info.ssi_signo == SIGUSR1)
        on_dump_();
    else if (info.ssi_signo == SIGHUP)
        on_reload_();
    else
        on_stop_();
}

} // namespace ibisdyke::transport
