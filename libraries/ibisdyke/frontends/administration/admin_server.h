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

/// Whether a process may receive traffic, and if not, why.
struct health {
    bool healthy = true;
    std::string reason;

    friend bool operator==(const health&, const health&) = default;
};

/// Makes a server listen at an address. Throws core::system_failure when it cannot be bound.
void listen(QHttpServer& server, const core::endpoint& address);

/// Returns a check that writes a log line whenever the result of `check` changes.
std::function<health()> logged(std::function<health()> check);

/// The local administration address of a process: GET /state (dump), /metrics (text exposition) and /health (status 200
/// or 503). Runs on the control thread.
class admin_server : public QObject {
public:
    using health_check = std::function<health()>;

    /// `process` is what /state shows under "process". Reporters, counters and the check must outlive the server.
    admin_server(QJsonObject process, const observability::counter_registry& counters,
        std::vector<const observability::state_reporter*> reporters, health_check check, QObject* parent);

    ~admin_server() override;
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;
    admin_server(admin_server&&) = delete;
    admin_server& operator=(admin_server&&) = delete;

    /// Throws core::system_failure when the address cannot be bound.
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
