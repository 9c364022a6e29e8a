#include "ibisdyke/configuration/wire/json_document.h"

#include "ibisdyke/core/error.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <cstddef>

namespace ibisdyke::configuration::wire {

namespace {

/// Counts the fields of all objects in the text of a valid JSON document, including repeated ones.
std::size_t count_fields(const QByteArray& text)
{
    std::size_t result = 0;
    bool in_string = false;
    for (qsizetype i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '"')
            in_string = !in_string;
        else if (in_string && c == '\\')
            ++i;
        else if (!in_string && c == ':')
            ++result;
    }
    return result;
}

/// Counts the fields of all objects in a value. The parser has limited the depth of the recursion.
std::size_t count_fields(const QJsonValue& value) // NOLINT(misc-no-recursion)
{
    std::size_t result = 0;
    if (value.isObject()) {
        const auto object = value.toObject();
        result = static_cast<std::size_t>(object.size());
        for (const auto& it : object)
            result += count_fields(QJsonValue(it));
    } else if (value.isArray()) {
        const auto list = value.toArray();
        for (const auto& it : list)
            result += count_fields(QJsonValue(it));
    }
    return result;
}

} // namespace

QJsonObject parse_json_object(const std::string& field, const QByteArray& text)
{
    QJsonParseError error;
    const auto document = QJsonDocument::fromJson(text, &error);
    if (!document.isObject())
        throw core::invalid_input(
            field, error.errorString().toStdString() + " at byte " + std::to_string(error.offset), "a JSON object");
    auto result = document.object();
    // The parser keeps one value of a repeated field, so the text then has more fields than the result.
    if (count_fields(text) != count_fields(QJsonValue(result)))
        throw core::invalid_input(field, "a repeated field", "each field of an object at most once");
    return result;
}

} // namespace ibisdyke::configuration::wire
