#pragma once

#include "ibisdyke/core/endpoint.h"

#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <set>
#include <string>

namespace ibisdyke::measure {

/// Requests the same path from the admin endpoints of several processes periodically. Lives on the main thread.
class status_poller : public QObject {
public:
    /// `status` is 0 when the process did not answer in time.
    using callback = std::function<void(const std::string& process, int status, const QJsonObject& body)>;

    /// `targets` gives admin endpoints by process name.
    status_poller(std::map<std::string, core::endpoint> targets, std::string path, int interval_ms, callback on_answer,
        QObject* parent);

    void start() { timer_.start(); }
    void stop() { timer_.stop(); }

private:
    void poll();
    void send_request(const std::string& process, const core::endpoint& address);

    std::map<std::string, core::endpoint> targets_;
    std::string path_;
    callback on_answer_;
    /// Processes that have not answered the last request yet.
    std::set<std::string> waiting_;
    QTimer timer_;
    QNetworkAccessManager network_;
};

} // namespace ibisdyke::measure
