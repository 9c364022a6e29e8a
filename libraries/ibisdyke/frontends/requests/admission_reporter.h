#pragma once

#include "ibisdyke/frontends/requests/request_server.h"
#include "ibisdyke/observability/state_reporter.h"

namespace ibisdyke::frontends {

/// Reports the state of an agent's admission control in the state dump under "admission".
///
/// Example:
///
///     const admission_reporter admission(*server);
///     runtime.run({&subscriber, &admission}, check, on_stop);
class admission_reporter final : public observability::state_reporter {
public:
    /// The server must outlive the reporter.
    explicit admission_reporter(const request_server& server)
        : server_(server)
    {
    }

    std::string name() const override { return "admission"; }
    QJsonObject report() const override;

private:
    const request_server& server_;
};

} // namespace ibisdyke::frontends
