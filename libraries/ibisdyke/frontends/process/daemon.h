#pragma once

#include "ibisdyke/settings/settings_source.h"

#include <functional>

namespace ibisdyke::frontends {

/// Exit codes of all programs.
enum class exit_code : int {
    success = 0,
    /// A resource failed at start or at run time.
    failure = 1,
    /// A setting is missing or invalid.
    bad_setting = 2,
};

/// Parses the settings and runs `body`. Exceptions become a message on standard error and an exit code. `body` gets the
/// source of the validated settings, which can reload them, and returns the exit code.
int run_program(const settings::settings_parser& parser, int argc, const char* const* argv,
    const std::function<exit_code(const settings::settings_source&)>& body);

} // namespace ibisdyke::frontends
