#pragma once

#include "admin_client.h"

#include "ibisdyke/core/time.h"

#include <string>
#include <vector>

namespace ibisdyke::ctl {

/// Exit codes of ibisdykectl.
enum class ctl_exit_code : int {
    success = 0,
    /// The command failed, or a check has found an error.
    failure = 1,
    /// A setting, argument or document is invalid.
    bad_input = 2,
    /// The edit is based on an outdated revision, because another operator's edit was accepted first.
    conflict = 3,
};

/// The parsed command line.
struct ctl_options {
    std::vector<std::string> arguments;
    std::vector<core::endpoint> admin;
    std::string token;
    core::milliseconds timeout{15'000};
    /// Longest time that --wait waits for a change to be in force everywhere.
    core::milliseconds wait_limit{30'000};
    bool wait = false;
    bool json = false;
    bool csv = false;
    std::string based_on;
    std::string neighbour;
    std::string role;
    std::string command_id;
    /// The front end that reads documents of route plans.
    std::string front_end;
    /// File with the route plan in force; empty if a plan is checked by itself.
    std::string against;
};

/// Runs the command. Writes results to standard output and errors to standard error. Throws core::invalid_input for an
/// invalid argument and core::system_failure when no control process answers.
ctl_exit_code run_command(const ctl_options& options);

/// Returns a help text with the commands and their arguments, a line for each command.
std::string command_help();

} // namespace ibisdyke::ctl
