#pragma once

#include "measure/experiments/running_system.h"
#include "measure/operators/config_tracker.h"
#include "measure/operators/status_poller.h"
#include "measure/results/balance_meter.h"
#include "measure/results/fault_history.h"
#include "measure/results/usage_meter.h"

#include <QObject>
#include <QTimer>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ibisdyke::measure {

/// Observes a running system. Polls the health of processes, which selects the balancers for the fabric, and the
/// versions that they have applied, and samples CPU time, memory and open flows. Lives on the main thread.
class observer : public QObject {
public:
    observer(running_system& system, QObject* parent);

    /// Starts polling health and state.
    void start_polling();
    /// Starts sampling CPU time, memory and open flows.
    void start_sampling();
    void stop_sampling() { sample_timer_.stop(); }

    /// Returns whether the last health check of the process succeeded.
    bool is_healthy(const std::string& name) const { return healthy_.contains(name); }

    /// Records that a process was started or resumed, or that its links were restored. It then has the configuration's
    /// full time limit to apply pending changes.
    void restart_time_limit(const std::string& name);

    /// Returns the processes that run, are not paused and reach a majority of the control processes.
    std::set<std::string> connected() const;

    config_tracker& configuration() { return configuration_; }
    fault_history& faults() { return faults_; }
    balance_meter& balance() { return balance_; }
    const usage_meter& usage() const { return usage_; }

    /// Returns whether all connected processes have applied this version or a newer one.
    bool all_have_applied(const core::version& at) const;

private:
    void handle_health(const std::string& process, int status);
    void handle_state(const std::string& process, const QJsonObject& body);
    void sample();
    /// Returns the connected processes for which restart_time_limit() was not called within the configuration's time
    /// limit.
    std::set<std::string> processes_past_time_limit() const;

    running_system& system_;
    config_tracker configuration_;
    fault_history faults_;
    balance_meter balance_;
    usage_meter usage_;
    std::set<std::string> healthy_;
    std::map<std::string, core::time_point> returned_at_;
    /// Number of starts and applied version by process name.
    std::map<std::string, std::pair<int, core::version>> applied_;
    status_poller health_poller_;
    status_poller state_poller_;
    QTimer sample_timer_;
};

} // namespace ibisdyke::measure
