#pragma once

#include "ibisdyke/settings/settings_parser.h"

#include <string>

namespace ibisdyke::settings {

/// The settings of a running process and where they came from: its arguments, variables and settings file.
class settings_source {
public:
    /// The parser and the arguments must outlive the source.
    settings_source(const settings_parser& parser, int argc, const char* const* argv, setting_values initial);

    /// The settings that the process started with.
    const setting_values& initial() const { return initial_; }

    /// Returns the text of the settings file, or an empty text without one. Throws core::system_failure when it cannot
    /// be read.
    std::string read_file() const;

    /// Reads and checks all settings again. Throws core::invalid_input or core::system_failure.
    setting_values reload() const;

private:
    const settings_parser& parser_;
    int argc_;
    const char* const* argv_;
    setting_values initial_;
};

} // namespace ibisdyke::settings
