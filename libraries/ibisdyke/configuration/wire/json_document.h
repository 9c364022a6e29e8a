#pragma once

#include <QByteArray>
#include <QJsonObject>

#include <string>

namespace ibisdyke::configuration::wire {

/// Parses a JSON object. Throws core::invalid_input with the path `field` when `text` is not a JSON object, or when an
/// object in it gives a field twice: only one of the two values would be read and checked.
QJsonObject parse_json_object(const std::string& field, const QByteArray& text);

} // namespace ibisdyke::configuration::wire
