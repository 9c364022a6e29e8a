#pragma once

#include "ibisdyke/configuration/messages.h"
#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/ids.h"
#include "ibisdyke/core/version.h"

#include <QByteArray>
#include <QHttpServerRequest>
#include <QHttpServerResponder>
#include <QJsonObject>
#include <QPointer>
#include <QString>
#include <QStringList>
#include <QTcpSocket>
#include <QUrlQuery>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace ibisdyke::frontends {

/// One request to the administration API and the way to answer it. Only the first answer is sent, and none when the
/// client has gone. Functions that read a field throw core::invalid_input when it is missing or malformed.
class admin_exchange {
public:
    using status = QHttpServerResponder::StatusCode;

    admin_exchange(const QHttpServerRequest& request, QHttpServerResponder&& responder);

    QHttpServerRequest::Method verb() const { return method_; }
    const QStringList& path() const { return path_; }
    const QByteArray& body() const { return body_; }

    /// The last segment of the path.
    std::string name() const { return path_.back().toStdString(); }

    /// Returns a value of the query, or an empty text without it.
    std::string query(const char* key) const;

    /// Returns the lower-case hexadecimal SHA-256 of the bearer token, or nothing without one.
    std::optional<std::string> token_digest() const;

    /// Parses the body. Throws core::invalid_input when it is no JSON object.
    void read_body();

    QJsonObject object_field(const char* name) const;
    std::string text_field(const char* name) const;
    std::uint64_t number_field(const char* name) const;
    bool bool_field(const char* name) const;

    /// The command id comes in the body, or in the query of a request without one.
    core::command_id command_id() const;

    /// The token that the request was authenticated with.
    const configuration::token& owner() const { return owner_; }
    void set_owner(configuration::token owner) { owner_ = std::move(owner); }

    void answer(const QJsonObject& it, status code = status::Ok);
    void answer(const QByteArray& it, const QByteArray& mime_type);

    /// Sends the client to another address, to send the same request there.
    void answer_redirect(const std::string& location);

    /// Answers with a message and, where one is at fault, the name of the field.
    void answer_error(status code, const std::string& message, const std::string& field = {});

private:
    /// Whether the client is still there and has no answer yet.
    bool can_answer() { return !std::exchange(answered_, true) && socket_ != nullptr; }

    QHttpServerRequest::Method method_;
    QStringList path_;
    QUrlQuery query_;
    QByteArray authorization_;
    QByteArray body_;
    QJsonObject json_;
    QPointer<QTcpSocket> socket_;
    QHttpServerResponder responder_;
    configuration::token owner_;
    bool answered_ = false;
};

/// Readers of texts in paths, queries and fields. They throw core::invalid_input that names the field.
std::uint64_t parse_number(const std::string& field, const std::string& value);
core::version parse_version(const std::string& field, const std::string& value);
core::endpoint parse_endpoint(const std::string& field, const std::string& value);

} // namespace ibisdyke::frontends
