#pragma once

#include <map>
#include <string>
#include <string_view>

namespace ibisdyke::settings {

/// The flag that names the settings file; every program has it.
constexpr const char* settings_file_flag = "settings-file";

/// Returns the text of a file. Throws core::system_failure when it cannot be read.
std::string read_file(const std::string& path);

/// Reads lines of the form FLAG=VALUE. Empty lines and lines that begin with # are left out, and a line without a value
/// leaves its setting at the default. Throws core::invalid_input for any other line.
std::map<std::string, std::string> parse_settings_file(std::string_view text);

} // namespace ibisdyke::settings
