#include "admin_client.h"

#include "ibisdyke/core/error.h"

#include <QEventLoop>
#include <QJsonDocument>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QTimer>
#include <QUrl>

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

namespace ibisdyke::ctl {

namespace {

constexpr core::milliseconds attempt_timeout{2000};
constexpr core::milliseconds retry_delay{100};
constexpr int status_misdirected = 421;
constexpr int status_unavailable = 503;

void pause(core::milliseconds time)
{
    QEventLoop loop;
    QTimer::singleShot(time, &loop, &QEventLoop::quit);
    loop.exec();
}

} // namespace

admin_client::admin_client(std::vector<core::endpoint> processes, std::string token, core::milliseconds timeout)
    : processes_(std::move(processes))
    , token_(std::move(token))
    , timeout_(timeout)
    , target_(processes_.front())
{
}

admin_response admin_client::send(const admin_request& request)
{
    const auto end = std::chrono::steady_clock::now() + timeout_;
    std::string last_problem = "no attempt was made";
    while (true) {
        const auto remaining = std::chrono::ceil<core::milliseconds>(end - std::chrono::steady_clock::now());
        if (remaining.count() <= 0)
            throw core::system_failure("no control process answered in time; last: " + last_problem);
        auto response = send_once(target_, request, std::min(remaining, attempt_timeout));
        if (response.status != 0 && response.status != status_misdirected && response.status != status_unavailable)
            return response;
        const auto leader = response.json.value("leader").toString().toStdString();
        last_problem = to_string(target_)
            + (response.status == 0 ? " did not answer" : " answered " + std::to_string(response.status));
        const bool redirected = response.status == status_misdirected && !leader.empty();
        if (redirected && core::endpoint::create(leader) != target_) {
            target_ = core::endpoint::create(leader);
            continue;
        }
        select_next_process();
        pause(retry_delay);
    }
}

void admin_client::select_next_process()
{
    process_index_ = (process_index_ + 1) % processes_.size();
    target_ = processes_[process_index_];
}

admin_response admin_client::send_once(
    const core::endpoint& target, const admin_request& request, core::milliseconds limit)
{
    QUrl url(QString::fromStdString("http://" + to_string(target) + "/v1/" + request.path));
    url.setQuery(request.query);
    QNetworkRequest message(url);
    message.setTransferTimeout(static_cast<int>(limit.count()));
    message.setRawHeader("Authorization", QByteArray::fromStdString("Bearer " + token_));
    message.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    const auto body =
        request.body.isEmpty() ? QByteArray{} : QJsonDocument(request.body).toJson(QJsonDocument::Compact);
    const std::unique_ptr<QNetworkReply> reply(
        network_.sendCustomRequest(message, QByteArray::fromStdString(request.method), body));
    QEventLoop loop;
    QObject::connect(reply.get(), &QNetworkReply::finished, &loop, &QEventLoop::quit);
    loop.exec();
    admin_response result;
    result.status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    // When the connection is lost within the answer, the status is set although the body is incomplete.
    const bool lost = reply->error() == QNetworkReply::RemoteHostClosedError
        || reply->error() == QNetworkReply::OperationCanceledError || reply->error() == QNetworkReply::TimeoutError;
    if (lost)
        result.status = 0;
    result.content = reply->readAll();
    result.json = QJsonDocument::fromJson(result.content).object();
    return result;
}

} // namespace ibisdyke::ctl
