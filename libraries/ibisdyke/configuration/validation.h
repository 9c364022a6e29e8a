#pragma once

#include "ibisdyke/configuration/messages.h"

#include <string>

namespace ibisdyke::configuration {

/// Throw core::invalid_input if the document has a value that is not allowed. The field of the error is the path in the
/// JSON document, for example "neighbours[2].weight".
void validate(const profile& it);
void validate(const service& it);
void validate(const token& it);

/// The rule for names, for error messages.
constexpr const char* valid_name = "1 to 64 letters, digits, dots, underscores or hyphens";

/// Whether the name follows the rule for names.
bool is_valid_name(const std::string& name);

/// Throws core::invalid_input unless the name consists of 1 to 64 letters, digits, dots, underscores or hyphens.
void validate_name(const std::string& field, const std::string& name);

} // namespace ibisdyke::configuration
