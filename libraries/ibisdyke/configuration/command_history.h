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

/// What the history records of a change of the route plan. Leaves out the routes and the document: a plan may have
/// hundreds of routes, and each change may replace all of them.
struct route_plan_summary {
    std::uint64_t based_on = 0;
    std::uint64_t revision = 0;
    core::milliseconds idle_timeout{0};
    std::size_t services = 0;
    /// The number of routes that the change added, replaced and removed.
    std::size_t changed_routes = 0;
    std::size_t removed_routes = 0;

    friend bool operator==(const route_plan_summary&, const route_plan_summary&) = default;
};

route_plan_summary summarize(const change_route_plan& it);

/// A change as the history records it.
using recorded_change = std::variant<put_profile, remove_profile, put_service, remove_service, set_domain_state,
    put_token, remove_token, set_upstream_drain, route_plan_summary>;

/// Returns the form in which the history records a change.
recorded_change to_recorded(const change& it);

/// One accepted change: its author, its time, and the changed object before and after it.
struct change_record {
    core::version at;
    core::command_id id;
    std::string author;
    core::wall_time made_at;
    recorded_change changed;
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
    /// The sums of record_bytes() of the records.
    std::size_t outcome_bytes = 0;
    std::size_t change_bytes = 0;

    friend bool operator==(const command_history& a, const command_history& b);
};

constexpr std::size_t max_outcomes = 10'000;
constexpr std::size_t max_history = 10'000;

/// Limits of the sums of record_bytes(). Records differ in size: a profile may name many neighbours, and the message of
/// a rejected command quotes the value at fault. Saving and loading the state hold the records several times over, and
/// the disk of a control process holds two snapshots.
constexpr std::size_t max_outcome_bytes = std::size_t{4} << 20;
constexpr std::size_t max_history_bytes = std::size_t{4} << 20;

/// Return the size of a record, which counts toward max_outcome_bytes or max_history_bytes. All members of a control
/// group must drop the same records, so the size depends only on the content and not on the build.
std::size_t record_bytes(const outcome_record& it);
std::size_t record_bytes(const change_record& it);

/// Returns the outcome of the command with this id, or null if none is recorded.
const outcome* find_outcome(const command_history& history, const core::command_id& id);

/// Adds a record. Does not drop older ones.
void append(command_history& history, outcome_record added);
void append(command_history& history, change_record added);

/// Drops the oldest records above the limits by number and by size, but not the newest record of either kind.
void drop_oldest(command_history& history);

/// Returns the history with the outcome of a command added and, if the command was accepted, its changes. Drops the
/// oldest records above the limits.
command_history append_command(const command_history& history, const command& it, const outcome& result,
    const configuration_state& before, const configuration_state& after, const core::version& at);

/// Return the kind and the name of the object that a change applies to, for example "profile" and "gold".
std::string subject_kind(const recorded_change& it);
std::string subject_name(const recorded_change& it);

} // namespace ibisdyke::configuration
