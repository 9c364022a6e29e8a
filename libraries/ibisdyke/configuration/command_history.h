#pragma once

#include "ibisdyke/configuration/command.h"
#include "ibisdyke/configuration/configuration_state.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace ibisdyke::configuration {

/// The outcome that every resend of a command gets.
struct outcome_record {
    core::command_id id;
    outcome result;

    friend bool operator==(const outcome_record&, const outcome_record&) = default;
};

/// What a change was made to; empty where it did not exist.
using document = std::variant<std::monostate, profile, service, domain, token>;

/// One accepted change: who, when, what, before and after.
struct change_record {
    core::version at;
    core::command_id id;
    std::string author;
    core::wall_time made_at;
    change what;
    document before;
    document after;

    friend bool operator==(const change_record&, const change_record&) = default;
};

/// The outcomes of the last commands and the history of accepted changes, oldest first. Part of the replicated state
/// of control processes; balancers and agents do not get it. Records are shared between successive histories, because
/// each command makes a new one.
struct command_history {
    std::vector<std::shared_ptr<const outcome_record>> outcomes;
    std::vector<std::shared_ptr<const change_record>> history;

    friend bool operator==(const command_history& a, const command_history& b);
};

constexpr std::size_t max_outcomes = 10'000;
constexpr std::size_t max_history = 10'000;

/// Returns the outcome of an earlier command of that id, or null.
const outcome* find_outcome(const command_history& history, const core::command_id& id);

/// Returns the history with a command's outcome and, when accepted, its changes. Records above the maximum are dropped,
/// oldest first.
command_history record(const command_history& history, const command& it, const outcome& result,
    const configuration_state& before, const configuration_state& after, const core::version& at);

/// Names what a change is about, for example "profile" and "gold".
std::string subject_kind(const change& it);
std::string subject_name(const change& it);

} // namespace ibisdyke::configuration
