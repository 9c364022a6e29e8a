#include "measure/operators/operator_client.h"

#include "ibisdyke/core/error.h"
#include "measure/support/clock.h"

#include <QJsonDocument>
#include <QNetworkReply>
#include <QTimer>
#include <QUrl>

#include <algorithm>
#include <utility>

namespace ibisdyke::measure {

namespace {

constexpr int attempt_timeout_ms = 2000;
constexpr core::milliseconds retry_after{100};

constexpr int status_misdirected = 421;
constexpr int first_server_error = 500;

} // namespace

struct operator_client::pending_call {
    std::string path;
    std::optional<QJsonObject> body;
    core::time_point deadline;
    callback done;
};

operator_client::operator_client(std::vector<core::endpoint> control, std::string token, QObject* parent)
    : QObject(parent)
    , control_(std::move(control))
    , token_(std::move(token))
    , network_(this)
{
}

void operator_client::put(const std::string& path, const QJsonObject& body, core::milliseconds timeout, callback done)
{
    send(std::make_shared<pending_call>(pending_call{path, body, read_clock() + timeout, std::move(done)}));
}

void operator_client::get(const std::string& path, core::milliseconds timeout, callback done)
{
    send(std::make_shared<pending_call>(pending_call{path, std::nullopt, read_clock() + timeout, std::move(done)}));
}

void operator_client::retry_later(const std::shared_ptr<pending_call>& it)
{
    if (read_clock() + retry_after >= it->deadline) {
        it->done({});
        return;
    }
    QTimer::singleShot(retry_after, this, [this, it] { send(it); });
}

void operator_client::send(const std::shared_ptr<pending_call>& it)
{
    const auto& to = control_[target_index_ % control_.size()];
    QNetworkRequest request(QUrl(QString::fromStdString("http://" + to_string(to) + it->path)));
    request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
    request.setTransferTimeout(attempt_timeout_ms);
    request.setRawHeader("authorization", QByteArray::fromStdString("Bearer " + token_));
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    QNetworkReply* const reply = it->body
        ? network_.put(request, QJsonDocument(*it->body).toJson(QJsonDocument::Compact))
        : network_.get(request);
    connect(reply, &QNetworkReply::finished, this, [this, it, reply] {
        reply->deleteLater();
        const auto status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
        handle(it, {status, QJsonDocument::fromJson(reply->readAll()).object()});
    });
}

void operator_client::handle(const std::shared_ptr<pending_call>& it, const operator_answer& answer)
{
    if (answer.status == status_misdirected) {
        try {
            const auto leader = core::endpoint::create(answer.body.value("leader").toString().toStdString());
            const auto found = std::find(control_.begin(), control_.end(), leader);
            target_index_ =
                found == control_.end() ? target_index_ + 1 : static_cast<std::size_t>(found - control_.begin());
        } catch (const core::invalid_input&) {
            // The follower knows no leader at the moment.
            ++target_index_;
        }
        retry_later(it);
        return;
    }
    // The command may have been accepted although no answer came. Its id keeps a resend from being applied twice.
    if (answer.status == 0 || answer.status >= first_server_error) {
        ++target_index_;
        retry_later(it);
        return;
    }
    it->done(answer);
}

} // namespace ibisdyke::measure
