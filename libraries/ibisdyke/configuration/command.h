#pragma once

#include "ibisdyke/configuration/configuration_state.h"
#include "ibisdyke/configuration/route_plan.h"
#include "ibisdyke/core/version.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ibisdyke::configuration {

/// Creates or replaces a profile. Accepted only if `based_on` is the current revision of the profile, or 0 if the
/// profile does not exist.
struct put_profile {
    profile document;
    std::uint64_t based_on = 0;

    friend bool operator==(const put_profile&, const put_profile&) = default;
};

/// Accepted only if `based_on` is the current revision of the profile.
struct remove_profile {
    std::string name;
    std::uint64_t based_on = 0;

    friend bool operator==(const remove_profile&, const remove_profile&) = default;
};

/// Creates a service, or replaces the service of the same name, which keeps its id. The id of a new service is the log
/// index of the command.
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

/// Starts or ends the drain of an upstream. The leader's lease manager keeps a drained upstream in the state
/// `draining`.
struct set_upstream_drain {
    core::upstream_id id;
    bool drained = false;

    friend bool operator==(const set_upstream_drain&, const set_upstream_drain&) = default;
};

using change = std::variant<put_profile, remove_profile, put_service, remove_service, set_domain_state, put_token,
    remove_token, set_upstream_drain, change_route_plan>;

/// A command of an operator. Either all its changes take effect or none.
struct command {
    core::command_id id;
    /// The operator's neighbour and the digest of the operator's token, for the change history.
    std::string author;
    /// Wall-clock time of the leader when it proposed the command.
    core::wall_time proposed_at;
    std::vector<change> changes;

    friend bool operator==(const command&, const command&) = default;
};

enum class outcome_kind : std::uint8_t {
    accepted,
    /// The profile or plan was changed after the revision in `based_on`. `present_revision` is its current revision.
    conflict,
    /// A change refers to something that does not exist, or has a value that is not allowed.
    rejected,
};

/// The result of a command. Kept in the replicated state, so that a command that is sent again gets the same answer.
struct outcome {
    outcome_kind kind = outcome_kind::accepted;
    /// Name or path of the field at fault in the JSON documents, or empty.
    std::string field;
    /// What is wrong and what is allowed, or empty.
    std::string message;
    std::uint64_t present_revision = 0;
    /// The version that contains the changes of an accepted command.
    core::version at;

    friend bool operator==(const outcome&, const outcome&) = default;
};

} // namespace ibisdyke::configuration
