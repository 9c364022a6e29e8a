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

/// A request to the administration API and its answer. Only the first answer is sent, and no answer is sent once the
/// client has disconnected. The functions that read a field throw core::invalid_input if the field is missing or
/// malformed.
class admin_exchange {
public:
    using status = QHttpServerResponder::StatusCode;

    admin_exchange(const QHttpServerRequest& request, QHttpServerResponder&& responder);

    QHttpServerRequest::Method verb() const { return method_; }
    const QStringList& path() const { return path_; }
    const QByteArray& body() const { return body_; }

    /// The last path segment.
    std::string name() const { return path_.back().toStdString(); }

    /// Returns the value of a query parameter, or an empty string if it is missing.
    std::string query(const char* key) const;

    /// Returns the lower-case hexadecimal SHA-256 of the bearer token, or nothing if the request has no token.
    std::optional<std::string> token_digest() const;

    /// Parses the body, if there is one. Throws core::invalid_input if it is not a JSON object.
    void parse_body();

    QJsonObject object_field(const char* name) const;
    std::string text_field(const char* name) const;
    std::uint64_t number_field(const char* name) const;
    bool bool_field(const char* name) const;

    /// Returns the command id from the body or, if the body has none, from the query.
    core::command_id command_id() const;

    /// The token that authenticated the request.
    const configuration::token& owner() const { return owner_; }
    void set_owner(configuration::token owner) { owner_ = std::move(owner); }

    void answer(const QJsonObject& it, status code = status::Ok);
    void answer(const QByteArray& it, const QByteArray& mime_type);

    /// Redirects the client to another location, where it should send the same request (status 307).
    void answer_redirect(const std::string& location);

    /// Answers with an error message and, if a field caused the error, its name.
    void answer_error(status code, const std::string& message, const std::string& field = {});

private:
    /// Whether the client is connected and has no answer yet. Marks the request as answered.
    bool begin_answer() { return !std::exchange(answered_, true) && socket_ != nullptr; }

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

/// Parsers for strings from paths, queries and fields. They throw core::invalid_input with the name of the field.
std::uint64_t parse_number(const std::string& field, const std::string& value);
core::version parse_version(const std::string& field, const std::string& value);
core::endpoint parse_endpoint(const std::string& field, const std::string& value);

} // namespace ibisdyke::frontends
