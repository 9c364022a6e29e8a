#pragma once

#include "ibisdyke/configuration/configuration_state.h"
#include "ibisdyke/configuration/route_plan.h"
#include "ibisdyke/core/version.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ibisdyke::configuration {

/// Creates (revision 0) or edits a profile. Accepted only when `based_on` is the present revision.
struct put_profile {
    profile document;
    std::uint64_t based_on = 0;

    friend bool operator==(const put_profile&, const put_profile&) = default;
};

struct remove_profile {
    std::string name;
    std::uint64_t based_on = 0;

    friend bool operator==(const remove_profile&, const remove_profile&) = default;
};

/// Creates a service or replaces its profile and addresses. The id of a new service is the index of the log record.
struct put_service {
    service document;

    friend bool operator==(const put_service&, const put_service&) = default;
};

struct remove_service {
    std::string name;

    friend bool operator==(const remove_service&, const remove_service&) = default;
};

struct set_domain_state {
    core::failure_domain name;
    domain_state state = domain_state::in;

    friend bool operator==(const set_domain_state&, const set_domain_state&) = default;
};

struct put_token {
    token document;

    friend bool operator==(const put_token&, const put_token&) = default;
};

struct remove_token {
    std::string digest;

    friend bool operator==(const remove_token&, const remove_token&) = default;
};

/// Asks for an upstream to be drained, or ends that. The leader's lease manager keeps a drained upstream `draining`.
struct set_upstream_drain {
    core::upstream_id id;
    bool drained = false;

    friend bool operator==(const set_upstream_drain&, const set_upstream_drain&) = default;
};

using change = std::variant<put_profile, remove_profile, put_service, remove_service, set_domain_state, put_token,
    remove_token, set_upstream_drain, change_route_plan>;

/// An operator's command. All its changes take effect together, or none does.
struct command {
    core::command_id id;
    /// The digest of the operator's token, and the operator's neighbour, for the record of changes.
    std::string author;
    /// The leader's wall-clock time when it proposed the command.
    core::wall_time proposed_at;
    std::vector<change> changes;

    friend bool operator==(const command&, const command&) = default;
};

enum class outcome_kind : std::uint8_t {
    accepted,
    /// Another edit came first; `present_revision` names the one to base an edit on.
    conflict,
    /// A change names something that does not exist or is not allowed.
    rejected,
};

/// What became of a command. Kept in the replicated state, so that a resend gets the first outcome.
struct outcome {
    outcome_kind kind = outcome_kind::accepted;
    /// The field at fault, as the JSON documents name it, or empty.
    std::string field;
    /// Says what is wrong and what is allowed, or is empty.
    std::string message;
    std::uint64_t present_revision = 0;
    /// The version that holds the command's changes, when accepted.
    core::version at;

    friend bool operator==(const outcome&, const outcome&) = default;
};

} // namespace ibisdyke::configuration
