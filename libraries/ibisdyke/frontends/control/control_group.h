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

/// What a log record may hold.
using control_command = std::variant<configuration::command, membership::membership_change, accounting::usage_batch>;

enum class submit_status : std::uint8_t {
    committed,
    /// This process is not the leader; the command was not appended.
    not_leader,
    /// Leadership was lost while the command was in progress; it may or may not be committed.
    unknown,
};

struct submit_result {
    submit_status status = submit_status::unknown;
    /// Set for configuration commands that were committed.
    std::optional<configuration::outcome> outcome;
    core::version at;
};

/// The replicated state as the other parts of a control process see it. All calls and callbacks on the control thread.
class control_group {
public:
    using submit_callback = std::function<void(const submit_result&)>;

    virtual ~control_group() = default;

    /// Whether this process is the leader and has heard from a majority within the election timeout.
    virtual bool is_leader() const = 0;

    /// The peer endpoint (HTTP/2) of the leader, when known.
    virtual std::optional<core::endpoint> leader() const = 0;

    /// The members of the group with their peer endpoints, as this process knows them.
    virtual std::map<core::control_id, core::endpoint> members() const = 0;

    /// Proposes a command. The callback runs exactly once.
    virtual void submit(const control_command& command, submit_callback done) = 0;

    /// The state after the last applied record; never null.
    virtual dissemination::system_state_snapshot state() const = 0;

    /// The usage after the last applied record.
    virtual const accounting::usage_state& usage() const = 0;

    /// Calls back after each applied record and after each snapshot that was installed.
    virtual void on_state_change(std::function<void(const dissemination::system_state_snapshot&)> callback) = 0;
};

} // namespace ibisdyke::frontends
