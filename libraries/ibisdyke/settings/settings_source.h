#pragma once

#include "ibisdyke/settings/settings_parser.h"

#include <string>

namespace ibisdyke::settings {

/// The sources of a process's settings, which are its arguments, environment variables and settings file. Keeps the
/// initial settings and reads the current ones again on request.
class settings_source {
public:
    /// `parser` and `argv` must outlive this object. `initial` contains the settings of the process at its start.
    settings_source(const settings_parser& parser, int argc, const char* const* argv, setting_values initial);

    /// Returns the settings with which the process was started.
    const setting_values& initial() const { return initial_; }

    /// Returns the contents of the settings file, or an empty string if the process has no settings file. Throws
    /// core::system_failure when the file cannot be read.
    std::string read_file() const;

    /// Reads and validates all settings again. Throws core::invalid_input or core::system_failure.
    setting_values reload() const;

private:
    const settings_parser& parser_;
    int argc_;
    const char* const* argv_;
    setting_values initial_;
};

} // namespace ibisdyke::settings
