#pragma once

#include <QObject>
#include <QProcess>

#include <functional>
#include <string>
#include <vector>

namespace ibisdyke::measure {

/// How to start one daemon.
struct daemon_command {
    std::string program;
    std::vector<std::string> arguments;
    /// File to which standard output and standard error are appended, also after a restart.
    std::string log_path;

    friend bool operator==(const daemon_command&, const daemon_command&) = default;
};

/// A daemon as a child process. The kernel kills the child when the thread that started it ends, so the object must
/// live on the main thread; the child then never outlives this program.
class daemon_process : public QObject {
public:
    daemon_process(daemon_command command, QObject* parent);
    ~daemon_process() override;
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;
    daemon_process(daemon_process&&) = delete;
    daemon_process& operator=(daemon_process&&) = delete;

    /// Starts the process, after killing one that still runs. Throws core::system_failure.
    void start();

    /// Sends a signal to the process; does nothing when it does not run.
    void signal(int number) const;

    void pause();
    void resume();

    /// Kills the process and waits for its end.
    void kill();

    bool is_running() const { return process_ != nullptr; }
    bool is_paused() const { return paused_; }
    /// Process id, or 0 when the process does not run.
    qint64 pid() const { return process_ != nullptr ? process_->processId() : 0; }
    /// Number of successful starts.
    int start_count() const { return start_count_; }

    /// Sets a callback for the exit of the process, by itself or after signal(). It does not run after kill().
    void on_exit(std::function<void(int exit_code)> callback) { exit_callback_ = std::move(callback); }

private:
    void on_finished(int exit_code);

    daemon_command command_;
    QProcess* process_ = nullptr;
    bool paused_ = false;
    int start_count_ = 0;
    std::function<void(int)> exit_callback_;
};

} // namespace ibisdyke::measure
