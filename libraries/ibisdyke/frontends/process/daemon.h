#pragma once

#include "ibisdyke/settings/settings_source.h"

#include <functional>

namespace ibisdyke::frontends {

/// Exit codes of all programs.
enum class exit_code : int {
    success = 0,
    /// A resource failed at start or while running.
    failure = 1,
    /// A setting is missing or not allowed.
    bad_setting = 2,
};

/// Reads the settings and runs `body`; turns exceptions into a message on standard error and an exit code. The body
/// gets the checked settings, with their source for a reload, and returns the exit code.
int run_program(const settings::settings_parser& parser, int argc, const char* const* argv,
    const std::function<exit_code(const settings::settings_source&)>& body);

} // namespace ibisdyke::frontends
