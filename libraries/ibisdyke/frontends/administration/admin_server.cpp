#include "ibisdyke/frontends/administration/admin_server.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/observability/log.h"

#include <QHostAddress>
#include <QHttpServer>
#include <QHttpServerResponse>

#include <optional>
#include <utility>

namespace ibisdyke::frontends {

void listen(QHttpServer& server, const core::endpoint& address)
{
    if (server.listen(QHostAddress(address.address), address.port) == 0)
        throw core::system_failure("cannot listen on " + to_string(address));
}

std::function<health()> logged(std::function<health()> check)
{
    // Copies of the function share the last result.
    return [check = std::move(check), last_result = std::make_shared<std::optional<health>>()] {
        auto result = check();
        if (*last_result != result)
            observability::write_log(observability::log_level::info, "health_changed",
                {{"healthy", result.healthy}, {"reason", result.reason}});
        *last_result = result;
        return result;
    };
}

admin_server::admin_server(QJsonObject process, const observability::counter_registry& counters,
    std::vector<const observability::state_reporter*> reporters, health_check check, QObject* parent)
    : QObject(parent)
    , process_(std::move(process))
    , counters_(counters)
    , reporters_(std::move(reporters))
    , check_(std::move(check))
    , http_(std::make_unique<QHttpServer>())
{
    http_->route("/state", [this] { return QHttpServerResponse(dump()); });
    http_->route("/metrics", [this] {
        return QHttpServerResponse("text/plain; version=0.0.4", QByteArray::fromStdString(counters_.to_text()));
    });
    http_->route("/health", [this] {
        const auto it = check_();
        const auto status =
            it.healthy ? QHttpServerResponse::StatusCode::Ok : QHttpServerResponse::StatusCode::ServiceUnavailable;
        const QJsonObject body{{"healthy", it.healthy}, {"reason", QString::fromStdString(it.reason)}};
        return QHttpServerResponse(body, status);
    });
}

admin_server::~admin_server() = default;

void admin_server::listen(const core::endpoint& address)
{
    frontends::listen(*http_, address);
}

QJsonObject admin_server::dump() const
{
    QJsonObject result{{"process", process_}};
    for (const auto* const it : reporters_)
        result.insert(QString::fromStdString(it->name()), it->report());
    result.insert("metrics", counters_.to_json());
    return result;
}

} // namespace ibisdyke::frontends
