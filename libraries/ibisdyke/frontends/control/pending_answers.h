#pragma once

#include "ibisdyke/frontends/control/control_group.h"
#include "ibisdyke/replication/raft_node.h"

#include <cstdint>
#include <functional>
#include <map>

namespace ibisdyke::frontends {

/// Who waits for a record of the log to be committed or for a read to be confirmed. Each callback runs exactly once.
class pending_answers {
public:
    using submit_callback = control_group::submit_callback;
    using change_callback = std::function<void(replication::proposal_status)>;
    using read_callback = std::function<void(bool)>;

    void add_command(const core::version& at, submit_callback done) { commands_[at.index] = {at, std::move(done)}; }
    void add_change(const core::version& at, change_callback done) { changes_[at.index] = {at, std::move(done)}; }
    void add_read(std::uint64_t read, read_callback done) { reads_[read] = std::move(done); }

    /// Answers those who wait for the record at this index. Another record than theirs means that theirs was dropped.
    void answer(const core::version& committed, const std::optional<configuration::outcome>& outcome);

    void answer_read(std::uint64_t read);

    /// Answers everybody: what becomes of the commands is unknown.
    void fail_all();

private:
    template <typename T>
    struct waiting {
        core::version at;
        T done;
    };

    std::map<std::uint64_t, waiting<submit_callback>> commands_;
    std::map<std::uint64_t, waiting<change_callback>> changes_;
    std::map<std::uint64_t, read_callback> reads_;
};

} // namespace ibisdyke::frontends
