#pragma once

#include <map>
#include <string>
#include <string_view>

namespace ibisdyke::settings {

/// The flag that names the settings file. Every daemon has this flag.
constexpr const char* settings_file_flag = "settings-file";

/// Returns the contents of a file. Throws core::system_failure when the file cannot be read.
std::string read_file(const std::string& path);

/// Parses lines of the form FLAG=VALUE and returns the values by flag. Empty lines and lines that begin with # are
/// ignored. A line without a value (FLAG=) is ignored as well, so that the setting keeps its default. Throws
/// core::invalid_input for any other line.
std::map<std::string, std::string> parse_settings_file(std::string_view text);

} // namespace ibisdyke::settings
