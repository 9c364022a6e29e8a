#pragma once

#include "ibisdyke/configuration/command_history.h"

#include <QJsonObject>

namespace ibisdyke::configuration::wire {

/// Conversions between configuration objects and JSON documents, which docs/profile.schema.json describes. The readers
/// throw core::invalid_input for a field that is unknown, missing or of the wrong type; the field of the error is the
/// path in the document. Optional fields that are missing keep their default. validate() checks the ranges.
QJsonObject to_json(const profile& it);
profile profile_from_json(const QJsonObject& in);

QJsonObject to_json(const service& it);
service service_from_json(const QJsonObject& in);

QJsonObject to_json(const domain& it);
QJsonObject to_json(const token& it);
QJsonObject to_json(const change_record& it);

/// Throws core::invalid_input for the field "state".
domain_state domain_state_from_string(const std::string& text);

/// Returns "caller", "read", "operate" or "administer".
std::string to_string(role it);

/// Throws core::invalid_input for the field "role".
role role_from_string(const std::string& text);

} // namespace ibisdyke::configuration::wire
