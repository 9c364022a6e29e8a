#pragma once

#include <string>
#include <string_view>

namespace ibisdyke::configuration {

/// Returns the digest that identifies a token in the configuration: its SHA-256 as 64 lower-case hexadecimal digits.
std::string token_digest(std::string_view token);

} // namespace ibisdyke::configuration
