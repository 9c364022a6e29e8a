#pragma once

#include "ibisdyke/configuration/command.h"
#include "ibisdyke/configuration/configuration_state.h"

namespace ibisdyke::configuration {

/// A command's effect.
struct command_effect {
    /// The state before the command unless the outcome is `accepted`.
    configuration_state state;
    outcome result;

    friend bool operator==(const command_effect&, const command_effect&) = default;
};

/// Applies all changes of a command, which the log holds at version `at`, or none of them. Does not know of earlier
/// outcomes; see command_history.
command_effect apply(const configuration_state& before, const command& it, const core::version& at);

} // namespace ibisdyke::configuration
