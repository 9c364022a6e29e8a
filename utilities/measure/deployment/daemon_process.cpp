#include "measure/deployment/daemon_process.h"

#include "ibisdyke/core/error.h"

#include <csignal>
#include <sys/prctl.h>
#include <utility>

namespace ibisdyke::measure {

namespace {

constexpr int start_timeout_ms = 5000;
constexpr int kill_timeout_ms = 5000;

/// Runs in the child between fork and exec, where only async-signal-safe calls are allowed.
void prepare_child()
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    // A child inherits the signal mask, and this program blocks the signals for which it has a signal_watcher.
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
}

} // namespace

daemon_process::daemon_process(daemon_command command, QObject* parent)
    : QObject(parent)
    , command_(std::move(command))
{
}

daemon_process::~daemon_process()
{
    kill();
}

void daemon_process::start()
{
    kill();
    process_ = new QProcess(this);
    process_->setProcessChannelMode(QProcess::MergedChannels);
    process_->setStandardOutputFile(QString::fromStdString(command_.log_path), QIODevice::Append);
    process_->setStandardInputFile(QProcess::nullDevice());
    process_->setChildProcessModifier(&prepare_child);
    connect(process_, &QProcess::finished, this, &daemon_process::on_finished);
    QStringList arguments;
    for (const auto& it : command_.arguments)
        arguments.append(QString::fromStdString(it));
    process_->start(QString::fromStdString(command_.program), arguments);
    if (!process_->waitForStarted(start_timeout_ms)) {
        const auto reason = process_->errorString().toStdString();
        delete std::exchange(process_, nullptr);
        throw core::system_failure("cannot start " + command_.program + ": " + reason);
    }
    ++start_count_;
}

void daemon_process::signal(int number) const
{
    if (const auto id = pid(); id > 0)
        ::kill(static_cast<pid_t>(id), number);
}

void daemon_process::pause()
{
    signal(SIGSTOP);
    paused_ = is_running();
}

void daemon_process::resume()
{
    signal(SIGCONT);
    paused_ = false;
}

void daemon_process::kill()
{
    auto* const process = std::exchange(process_, nullptr);
    paused_ = false;
    if (process == nullptr)
        return;
    process->disconnect(this);
    process->kill();
    process->waitForFinished(kill_timeout_ms);
    delete process;
}

void daemon_process::on_finished(int exit_code)
{
    std::exchange(process_, nullptr)->deleteLater();
    paused_ = false;
    if (exit_callback_)
        exit_callback_(exit_code);
}

} // namespace ibisdyke::measure
