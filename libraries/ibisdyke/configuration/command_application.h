#pragma once

#include "ibisdyke/configuration/command.h"
#include "ibisdyke/configuration/configuration_state.h"

namespace ibisdyke::configuration {

/// The result of applying a command.
struct command_effect {
    /// Unchanged unless the outcome is `accepted`.
    configuration_state state;
    outcome result;

    friend bool operator==(const command_effect&, const command_effect&) = default;
};

/// Applies all changes of a command, or none if one of them cannot be made. `at` is the version of the command's log
/// record. Does not detect commands that are sent again; see command_history.
command_effect apply(const configuration_state& before, const command& it, const core::version& at);

} // namespace ibisdyke::configuration
