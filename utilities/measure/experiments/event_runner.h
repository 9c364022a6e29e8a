#pragma once

#include "measure/experiments/operator_commands.h"

#include <QObject>

#include <set>
#include <string>

namespace ibisdyke::measure {

/// Runs the events of a trace. Lives on the main thread.
class event_runner : public QObject {
public:
    event_runner(running_system& system, observer& system_observer, operator_commands& commands,
        drain_latency_meter& drain_latency, QObject* parent);

    /// Runs an event. Throws core::invalid_input when the event names something that does not exist.
    void run(const trace_event& it);

    /// Checks the names in an event without running it. Throws core::invalid_input.
    void check(const trace_event& it) const;

    /// Processes that exited without an event that stops them, or with an error code.
    const std::vector<std::string>& unexpected_exits() const { return unexpected_exits_; }

private:
    void run_on_process(const trace_event& it);
    void run_on_upstream(const trace_event& it, const std::string& name);
    void run_on_links(const trace_event& it);
    void run_on_load(const trace_event& it);
    void kill(const std::string& name, bool with_upstream);
    void stop(const std::string& name, bool with_upstream);
    void start(const std::string& name, bool with_upstream);
    void handle_exit(const std::string& name, int exit_code);
    void kill_upstream(const std::string& name);

    running_system& system_;
    observer& observer_;
    operator_commands& commands_;
    drain_latency_meter& drain_latency_;
    /// Processes that were sent SIGTERM and have not exited yet. The value is true if the fake upstream is to be killed
    /// when its agent exits.
    std::map<std::string, bool> stopping_;
    std::vector<std::string> unexpected_exits_;
};

} // namespace ibisdyke::measure
