#pragma once

#include "ibisdyke/frontends/control/control_group.h"
#include "ibisdyke/replication/raft_node.h"

#include <cstdint>
#include <functional>
#include <map>

namespace ibisdyke::frontends {

/// The callbacks of operations that wait for a log record to be committed or for a read to be confirmed. Each callback
/// runs exactly once.
class pending_operations {
public:
    using submit_callback = control_group::submit_callback;
    using member_change_callback = std::function<void(replication::proposal_status)>;
    using read_callback = std::function<void(bool)>;

    void add_command(const core::version& at, submit_callback done) { commands_[at.index] = {at, std::move(done)}; }

    /// Adds a change of the members of the control group.
    void add_member_change(const core::version& at, member_change_callback done)
    {
        member_changes_[at.index] = {at, std::move(done)};
    }

    /// Adds a read with its number from raft_node::begin_read().
    void add_read(std::uint64_t read, read_callback done) { reads_[read] = std::move(done); }

    /// Completes the operations at the index of a committed record. An operation fails with not_leader when the record
    /// has another term, because a later leader has then replaced the operation's own record.
    void complete_record(const core::version& committed, const std::optional<configuration::outcome>& outcome);

    void confirm_read(std::uint64_t read);

    /// Completes all operations without a result: commands with submit_status::unknown, member changes with not_leader,
    /// and reads as unconfirmed.
    void abort_all();

private:
    template <typename Callback>
    struct operation {
        core::version at;
        Callback done;
    };

    /// By log index.
    std::map<std::uint64_t, operation<submit_callback>> commands_;
    std::map<std::uint64_t, operation<member_change_callback>> member_changes_;
    std::map<std::uint64_t, read_callback> reads_;
};

} // namespace ibisdyke::frontends
