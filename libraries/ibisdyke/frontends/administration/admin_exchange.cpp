#include "ibisdyke/frontends/administration/admin_exchange.h"

#include "ibisdyke/configuration/token_digest.h"
#include "ibisdyke/configuration/wire/json_document.h"
#include "ibisdyke/core/error.h"
#include "ibisdyke/core/parse_number.h"

#include <QJsonDocument>

namespace ibisdyke::frontends {

namespace {

constexpr std::size_t max_command_id_length = 128;

} // namespace

admin_exchange::admin_exchange(const QHttpServerRequest& request, QHttpServerResponder&& responder)
    : method_(request.method())
    , path_(request.url().path().split('/', Qt::SkipEmptyParts))
    , query_(request.query())
    , authorization_(request.value("authorization"))
    , body_(request.body())
    , socket_(responder.socket())
    , responder_(std::move(responder))
{
}

std::string admin_exchange::query(const char* key) const
{
    return query_.queryItemValue(key, QUrl::FullyDecoded).toStdString();
}

std::optional<std::string> admin_exchange::token_digest() const
{
    constexpr QByteArrayView scheme = "Bearer ";
    if (!authorization_.startsWith(scheme))
        return std::nullopt;
    const auto token = authorization_.mid(scheme.size()).trimmed();
    return configuration::token_digest({token.data(), static_cast<std::size_t>(token.size())});
}

void admin_exchange::parse_body()
{
    if (body_.isEmpty())
        return;
    json_ = configuration::wire::parse_json_object("body", body_);
}

QJsonObject admin_exchange::object_field(const char* name) const
{
    if (!json_.value(name).isObject())
        throw core::invalid_input(name, "", "an object");
    return json_.value(name).toObject();
}

std::string admin_exchange::text_field(const char* name) const
{
    if (!json_.value(name).isString())
        throw core::invalid_input(name, "", "a string");
    return json_.value(name).toString().toStdString();
}

std::uint64_t admin_exchange::number_field(const char* name) const
{
    const auto value = json_.value(name).toInteger(-1);
    if (value < 0)
        throw core::invalid_input(name, "", "a non-negative whole number");
    return static_cast<std::uint64_t>(value);
}

bool admin_exchange::bool_field(const char* name) const
{
    if (!json_.value(name).isBool())
        throw core::invalid_input(name, "", "true or false");
    return json_.value(name).toBool();
}

core::command_id admin_exchange::command_id() const
{
    auto id = json_.contains("command_id") ? text_field("command_id") : query("command_id");
    if (id.empty() || id.size() > max_command_id_length)
        throw core::invalid_input(
            "command_id", id, "1 to 128 characters, unique for each command and the same when it is sent again");
    return core::command_id(std::move(id));
}

void admin_exchange::answer(const QJsonObject& it, status code)
{
    if (begin_answer())
        responder_.write(QJsonDocument(it), code);
}

void admin_exchange::answer(const QByteArray& it, const QByteArray& mime_type)
{
    if (begin_answer())
        responder_.write(it, mime_type);
}

void admin_exchange::answer_redirect(const std::string& location)
{
    if (begin_answer())
        responder_.write({{"Location", QByteArray::fromStdString(location)}}, status::TemporaryRedirect);
}

void admin_exchange::answer_error(status code, const std::string& message, const std::string& field)
{
    QJsonObject body{{"error", QString::fromStdString(message)}};
    if (!field.empty())
        body.insert("field", QString::fromStdString(field));
    answer(body, code);
}

std::uint64_t parse_number(const std::string& field, const std::string& value)
{
    const auto result = core::parse_number(value);
    if (!result)
        throw core::invalid_input(field, value, "a whole number");
    return *result;
}

core::version parse_version(const std::string& field, const std::string& value)
{
    const auto result = core::parse_version(value);
    if (!result)
        throw core::invalid_input(field, value, "a term and an index, such as 3.120");
    return *result;
}

core::endpoint parse_endpoint(const std::string& field, const std::string& value)
{
    try {
        return core::endpoint::create(value);
    } catch (const core::invalid_input&) {
        throw core::invalid_input(field, value, "an IPv4 address and port, such as 10.0.0.1:7000");
    }
}

} // namespace ibisdyke::frontends
