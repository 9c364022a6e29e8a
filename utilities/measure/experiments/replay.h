#pragma once

#include "measure/deployment/supervisor.h"
#include "measure/results/expectation.h"
#include "measure/trace/trace.h"

#include <functional>
#include <string>
#include <vector>

namespace ibisdyke::measure {

/// The results of a run.
struct replay_report {
    results measured;
    /// A line for each expectation that was not met.
    std::vector<std::string> misses;
    /// Lines with details of failures.
    std::vector<std::string> details;

    friend bool operator==(const replay_report&, const replay_report&) = default;
};

/// Runs a trace with real processes and compares the results with the trace's expectations.
class replay {
public:
    /// The run ends early when `cancelled` returns true; it is called often. `progress` is called with a line for each
    /// step.
    replay(run_folders folders, std::function<bool()> cancelled, std::function<void(const std::string&)> progress);

    /// Throws core::system_failure when the system does not start, and core::invalid_input when an event names
    /// something that does not exist.
    replay_report run(const trace& script);

private:
    run_folders folders_;
    std::function<bool()> cancelled_;
    std::function<void(const std::string&)> progress_;
};

} // namespace ibisdyke::measure
