#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/ids.h"
#include "ibisdyke/frontends/administration/admin_server.h"
#include "ibisdyke/frontends/process/daemon.h"
#include "ibisdyke/frontends/process/settings_watcher.h"
#include "ibisdyke/observability/counter_registry.h"
#include "ibisdyke/transport/signal_watcher.h"
#include "ibisdyke/transport/traffic_meter.h"

#include <QCoreApplication>
#include <QObject>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ibisdyke::frontends {

/// Who a process is.
struct process_identity {
    /// "balancer", "agent" or "control".
    std::string program;
    /// The name that operators see.
    std::string name;
    core::failure_domain domain;
    /// A new random number for each start.
    core::incarnation incarnation;
    /// Local IPv4 address (host byte order) that outgoing connections are bound to; 0 lets the system choose.
    std::uint32_t source_address = 0;

    friend bool operator==(const process_identity&, const process_identity&) = default;
};

/// What every daemon has: identity, event loop of the control thread, counters, signals and the administration address.
/// One per process; created on the main thread before any other thread.
class process_runtime {
public:
    /// Declares the settings that create() reads.
    static void declare_settings(settings::settings_parser& parser);

    /// Reads the settings and draws an incarnation.
    static std::unique_ptr<process_runtime> create(const std::string& program, const settings::setting_values& values);

    /// Begins the log.
    process_runtime(process_identity identity, const core::endpoint& admin_address);

    /// Writes the log lines that still wait.
    ~process_runtime();
    process_runtime(const process_runtime&) = delete;
    process_runtime& operator=(const process_runtime&) = delete;
    process_runtime(process_runtime&&) = delete;
    process_runtime& operator=(process_runtime&&) = delete;

    const process_identity& identity() const { return identity_; }
    observability::counter_registry& counters() { return counters_; }

    /// Calls back with the settings when their file has changed, until the process ends. `source` must outlive the
    /// runtime.
    void watch_settings(const settings::settings_source& source, settings_watcher::change_callback on_change);

    /// Counts the bytes of connections that carry control messages.
    transport::traffic_meter& control_traffic() { return control_traffic_; }

    /// The parent of objects that live on the control thread.
    QObject* parent() { return &parent_; }

    /// Runs until finish(): serves the administration address, calls `on_stop` on the first SIGTERM and `finish()` on
    /// the second one. SIGUSR1 writes the state dump to standard output. `add_routes` may add routes to the
    /// administration address.
    exit_code run(std::vector<const observability::state_reporter*> reporters, admin_server::health_check check,
        std::function<void()> on_stop, const std::function<void(QHttpServer&)>& add_routes = {});

    /// Ends run() with exit_code::failure.
    void fail();

    /// Ends run().
    void finish() { QCoreApplication::quit(); }

private:
    void stop(const std::function<void()>& on_stop);

    /// Prepares Qt, before there is an application, and returns its count of arguments.
    static int prepare_qt();

    int argc_ = prepare_qt();
    QCoreApplication application_{argc_, nullptr};
    process_identity identity_;
    core::endpoint admin_address_;
    observability::counter_registry counters_;
    transport::traffic_meter control_traffic_;
    QObject parent_;
    settings_watcher* settings_ = nullptr;
    bool stopping_ = false;
    exit_code result_ = exit_code::success;
};

} // namespace ibisdyke::frontends
