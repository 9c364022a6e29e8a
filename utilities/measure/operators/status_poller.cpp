#include "measure/operators/status_poller.h"

#include <QJsonDocument>
#include <QNetworkReply>
#include <QUrl>

#include <utility>

namespace ibisdyke::measure {

namespace {

// A process that takes longer to answer counts as not ready for traffic.
constexpr int answer_timeout_ms = 400;

} // namespace

status_poller::status_poller(std::map<std::string, core::endpoint> targets, std::string path, int interval_ms,
    run_counter run_of, callback on_answer, QObject* parent)
    : QObject(parent)
    , targets_(std::move(targets))
    , path_(std::move(path))
    , run_of_(std::move(run_of))
    , on_answer_(std::move(on_answer))
    , timer_(this)
    , network_(this)
{
    timer_.setInterval(interval_ms);
    connect(&timer_, &QTimer::timeout, this, &status_poller::poll);
}

void status_poller::poll()
{
    for (const auto& [process, address] : targets_) {
        if (!waiting_.contains(process))
            send_request(process, address);
    }
}

void status_poller::send_request(const std::string& process, const core::endpoint& address)
{
    waiting_.insert(process);
    QNetworkRequest request(QUrl(QString::fromStdString("http://" + to_string(address) + path_)));
    request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
    request.setTransferTimeout(answer_timeout_ms);
    auto* const reply = network_.get(request);
    connect(reply, &QNetworkReply::finished, this, [this, process, reply, run = run_of_(process)] {
        reply->deleteLater();
        waiting_.erase(process);
        if (run_of_(process) != run)
            return;
        const auto status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
        on_answer_(process, status, QJsonDocument::fromJson(reply->readAll()).object());
    });
}

} // namespace ibisdyke::measure
