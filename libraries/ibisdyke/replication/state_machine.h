#pragma once

#include "ibisdyke/replication/messages.h"

#include <string>
#include <string_view>

namespace ibisdyke::replication {

/// The state that the commands of the log change. Must be deterministic: the same commands in the same order give the
/// same state in every process.
class state_machine {
public:
    virtual ~state_machine() = default;

    /// Applies a committed command. Called once for each command, in log order.
    virtual void apply(const entry& committed) = 0;

    /// Returns the encoded state.
    virtual std::string save() const = 0;

    /// Replaces the state by a saved state, which includes all commands up to and including `at`.
    virtual void restore(std::string_view saved, const core::version& at) = 0;
};

} // namespace ibisdyke::replication
