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

/// Identity of a process.
struct process_identity {
    /// "balancer", "agent" or "control".
    std::string program;
    /// Name that operators see.
    std::string name;
    core::failure_domain domain;
    /// A random number that is different for each start.
    core::incarnation incarnation;
    /// Local IPv4 address (host byte order) that outgoing connections are bound to; 0 lets the system choose.
    std::uint32_t source_address = 0;

    friend bool operator==(const process_identity&, const process_identity&) = default;
};

/// The parts that all daemons share: identity, event loop of the control thread, counters, signal handling and the
/// administration server. There is one per process. It must be created on the main thread before any other thread.
class process_runtime {
public:
    /// Declares the settings that create() reads.
    static void declare_settings(settings::settings_parser& parser);

    /// Creates a runtime from the settings, with a random incarnation.
    static std::unique_ptr<process_runtime> create(const std::string& program, const settings::setting_values& values);

    /// Starts the log.
    process_runtime(process_identity identity, const core::endpoint& admin_address);

    /// Writes all pending log lines.
    ~process_runtime();
    process_runtime(const process_runtime&) = delete;
    process_runtime& operator=(const process_runtime&) = delete;
    process_runtime(process_runtime&&) = delete;
    process_runtime& operator=(process_runtime&&) = delete;

    const process_identity& identity() const { return identity_; }
    observability::counter_registry& counters() { return counters_; }

    /// Calls `on_change` with the new settings whenever the settings file has changed, until the process ends. `source`
    /// must outlive the runtime.
    void watch_settings(const settings::settings_source& source, settings_watcher::change_callback on_change);

    /// Counts the bytes of connections that carry control messages.
    transport::traffic_meter& control_traffic() { return control_traffic_; }

    /// Returns the parent of objects that live on the control thread.
    QObject* parent() { return &parent_; }

    /// Runs the event loop until finish() and serves the administration address meanwhile. The first SIGTERM or SIGINT
    /// calls `on_stop` for a graceful shutdown; the second one calls finish(). SIGUSR1 writes the state dump to
    /// standard output. SIGHUP checks the settings file at once. `add_routes` can add HTTP routes to the administration
    /// server.
    exit_code run(std::vector<const observability::state_reporter*> reporters, admin_server::health_check check,
        std::function<void()> on_stop, const std::function<void(QHttpServer&)>& add_routes = {});

    /// Ends run() with exit_code::failure.
    void fail();

    /// Ends run().
    void finish() { QCoreApplication::quit(); }

private:
    void stop(const std::function<void()>& on_stop);

    /// Configures Qt, which must happen before the QCoreApplication is created. Returns the argument count for the
    /// QCoreApplication.
    static int prepare_qt();

    int argc_ = prepare_qt();
    QCoreApplication application_{argc_, nullptr};
    process_identity identity_;
    core::endpoint admin_address_;
    observability::counter_registry counters_;
    transport::traffic_meter control_traffic_;
    QObject parent_;
    settings_watcher* settings_watcher_ = nullptr;
    bool stopping_ = false;
    exit_code result_ = exit_code::success;
};

} // namespace ibisdyke::frontends
