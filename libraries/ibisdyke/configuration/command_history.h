#pragma once

#include "ibisdyke/configuration/command.h"
#include "ibisdyke/configuration/configuration_state.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace ibisdyke::configuration {

/// The outcome of a command, which answers every resend of the command.
struct outcome_record {
    core::command_id id;
    outcome result;

    friend bool operator==(const outcome_record&, const outcome_record&) = default;
};

/// The object that a change applies to. Empty if it does not exist, and for changes of upstreams and of the route plan.
using document = std::variant<std::monostate, profile, service, domain, token>;

/// One accepted change: its author, its time, and the changed object before and after it.
struct change_record {
    core::version at;
    core::command_id id;
    std::string author;
    core::wall_time made_at;
    change changed;
    document before;
    document after;

    friend bool operator==(const change_record&, const change_record&) = default;
};

/// The outcomes of the latest commands and the accepted changes, both oldest first. Part of the replicated state of
/// control processes; not sent to balancers and agents. Each command creates a new history, which shares the records of
/// the earlier one.
struct command_history {
    std::vector<std::shared_ptr<const outcome_record>> outcomes;
    std::vector<std::shared_ptr<const change_record>> changes;

    friend bool operator==(const command_history& a, const command_history& b);
};

constexpr std::size_t max_outcomes = 10'000;
constexpr std::size_t max_history = 10'000;

/// Returns the outcome of the command with this id, or null if none is recorded.
const outcome* find_outcome(const command_history& history, const core::command_id& id);

/// Returns the history with the outcome of a command added and, if the command was accepted, its changes. Drops the
/// oldest records above max_outcomes and max_history.
command_history append_command(const command_history& history, const command& it, const outcome& result,
    const configuration_state& before, const configuration_state& after, const core::version& at);

/// Return the kind and the name of the object that a change applies to, for example "profile" and "gold".
std::string subject_kind(const change& it);
std::string subject_name(const change& it);

} // namespace ibisdyke::configuration
