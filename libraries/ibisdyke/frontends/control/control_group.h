#pragma once

#include "ibisdyke/accounting/usage_state.h"
#include "ibisdyke/configuration/command.h"
#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/dissemination/system_state.h"
#include "ibisdyke/membership/membership_change.h"

#include <functional>
#include <map>
#include <optional>
#include <variant>

namespace ibisdyke::frontends {

/// The command types that the replicated log of the control group stores.
using control_command = std::variant<configuration::command, membership::membership_change, accounting::usage_batch>;

enum class submit_status : std::uint8_t {
    committed,
    /// This process is not the leader, or another leader's record replaced the command. The command has no effect.
    not_leader,
    /// This process lost leadership before the outcome was known; the command may or may not be committed.
    unknown,
};

struct submit_result {
    submit_status status = submit_status::unknown;
    /// Set for committed configuration commands only.
    std::optional<configuration::outcome> outcome;
    /// Log position of the committed command.
    core::version at;
};

/// Interface to the replicated state for the other parts of a control process. All calls and callbacks run on the
/// control thread.
class control_group {
public:
    using submit_callback = std::function<void(const submit_result&)>;

    virtual ~control_group() = default;

    /// Whether this process is the leader and had contact with a majority within the election timeout.
    virtual bool is_leader() const = 0;

    /// The peer endpoint (HTTP/2) of the leader, if it is known.
    virtual std::optional<core::endpoint> leader() const = 0;

    /// The peer endpoints of the group members, from the group configuration in this process's log.
    virtual std::map<core::control_id, core::endpoint> members() const = 0;

    /// Proposes a command. Calls `done` exactly once.
    virtual void submit(const control_command& command, submit_callback done) = 0;

    /// The state after the last applied log record; never null.
    virtual dissemination::system_state_snapshot state() const = 0;

    /// The usage after the last applied log record.
    virtual const accounting::usage_state& usage() const = 0;

    /// Registers a callback that runs after each applied record that changes state() and after each installed snapshot.
    virtual void on_state_change(std::function<void(const dissemination::system_state_snapshot&)> callback) = 0;
};

} // namespace ibisdyke::frontends
