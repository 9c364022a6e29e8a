#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/observability/counter_registry.h"
#include "ibisdyke/observability/state_reporter.h"

#include <QJsonObject>
#include <QObject>

#include <functional>
#include <memory>
#include <string>
#include <vector>

class QHttpServer;

namespace ibisdyke::frontends {

/// Whether a process may receive traffic. `reason` explains why it may not.
struct health {
    bool healthy = true;
    std::string reason;

    friend bool operator==(const health&, const health&) = default;
};

/// Starts listening at an address. Throws core::system_failure if the address cannot be bound.
void listen(QHttpServer& server, const core::endpoint& address);

/// Returns a function that calls `check` and logs each change of its result.
std::function<health()> logged(std::function<health()> check);

/// The HTTP server of a process for its operators: GET /state (state dump), /metrics (text exposition format) and
/// /health (status 200 or 503). Runs on the control thread.
class admin_server : public QObject {
public:
    using health_check = std::function<health()>;

    /// `process` appears in the state dump under "process". Reporters, counters and the objects that `check` uses must
    /// outlive the server.
    admin_server(QJsonObject process, const observability::counter_registry& counters,
        std::vector<const observability::state_reporter*> reporters, health_check check, QObject* parent);

    ~admin_server() override;
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;
    admin_server(admin_server&&) = delete;
    admin_server& operator=(admin_server&&) = delete;

    /// Throws core::system_failure if the address cannot be bound.
    void listen(const core::endpoint& address);

    /// The HTTP server, for further routes.
    QHttpServer& http() { return *http_; }

    /// Returns the state dump.
    QJsonObject dump() const;

private:
    QJsonObject process_;
    const observability::counter_registry& counters_;
    std::vector<const observability::state_reporter*> reporters_;
    health_check check_;
    std::unique_ptr<QHttpServer> http_;
};

} // namespace ibisdyke::frontends
