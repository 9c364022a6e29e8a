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
    /// Returns the number of starts of a process.
    using run_counter = std::function<int(const std::string& process)>;

    /// `status` is 0 when the process did not answer in time.
    using callback = std::function<void(const std::string& process, int status, const QJsonObject& body)>;

    /// `targets` gives admin endpoints by process name. An answer is dropped if the process was started again since the
    /// request: it may come from the run before and be handled late on a busy machine.
    status_poller(std::map<std::string, core::endpoint> targets, std::string path, int interval_ms, run_counter run_of,
        callback on_answer, QObject* parent);

    void start() { timer_.start(); }
    void stop() { timer_.stop(); }

private:
    void poll();
    void send_request(const std::string& process, const core::endpoint& address);

    std::map<std::string, core::endpoint> targets_;
    std::string path_;
    run_counter run_of_;
    callback on_answer_;
    /// Processes that have not answered the last request yet.
    std::set<std::string> waiting_;
    QTimer timer_;
    QNetworkAccessManager network_;
};

} // namespace ibisdyke::measure
