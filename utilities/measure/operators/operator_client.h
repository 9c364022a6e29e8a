#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/time.h"

#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QObject>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ibisdyke::measure {

/// Answer of the administration API. The status is 0 when no control process answered in time.
struct operator_answer {
    int status = 0;
    QJsonObject body;

    friend bool operator==(const operator_answer&, const operator_answer&) = default;
};

/// Client of the administration API. Follows redirections to the leader, and sends a command again with the same id
/// until it is answered or the timeout has passed. Lives on the main thread.
class operator_client : public QObject {
public:
    using callback = std::function<void(const operator_answer&)>;

    operator_client(std::vector<core::endpoint> control, std::string token, QObject* parent);

    void put(const std::string& path, const QJsonObject& body, core::milliseconds timeout, callback done);
    void get(const std::string& path, core::milliseconds timeout, callback done);

private:
    struct pending_call;

    void retry_later(const std::shared_ptr<pending_call>& it);
    void send(const std::shared_ptr<pending_call>& it);
    void handle(const std::shared_ptr<pending_call>& it, const operator_answer& answer);

    std::vector<core::endpoint> control_;
    std::string token_;
    /// Index of the control process to which the next request goes.
    std::size_t target_index_ = 0;
    QNetworkAccessManager network_;
};

} // namespace ibisdyke::measure
