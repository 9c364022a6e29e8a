#pragma once

#include "ibisdyke/configuration/command_history.h"

#include <QJsonObject>

namespace ibisdyke::configuration::wire {

/// JSON forms of the documents; docs/profile.schema.json describes them. The readers throw core::invalid_input for a
/// field that is unknown, missing or of another type; the error's field is the path within the document. Fields that
/// may be left out keep their default. Ranges are checked by validate().
QJsonObject to_json(const profile& it);
profile profile_from_json(const QJsonObject& in);

QJsonObject to_json(const service& it);
service service_from_json(const QJsonObject& in);

QJsonObject to_json(const domain& it);
QJsonObject to_json(const token& it);
QJsonObject to_json(const change_record& it);

/// Throws core::invalid_input naming the field "state".
domain_state domain_state_from_string(const std::string& text);

/// Returns "caller", "read", "operate" or "administer".
std::string to_string(role it);

/// Throws core::invalid_input naming the field "role".
role role_from_string(const std::string& text);

} // namespace ibisdyke::configuration::wire
