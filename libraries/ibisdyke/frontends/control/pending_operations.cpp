#include "ibisdyke/frontends/control/pending_operations.h"

#include <utility>

namespace ibisdyke::frontends {

void pending_operations::complete_record(
    const core::version& committed, const std::optional<configuration::outcome>& outcome)
{
    if (auto found = member_changes_.extract(committed.index)) {
        const bool is_own_record = found.mapped().at == committed;
        found.mapped().done(
            is_own_record ? replication::proposal_status::appended : replication::proposal_status::not_leader);
    }
    if (auto found = commands_.extract(committed.index)) {
        const auto& [at, done] = found.mapped();
        if (at == committed)
            done({submit_status::committed, outcome, committed});
        else
            done({submit_status::not_leader, std::nullopt, {}});
    }
}

void pending_operations::confirm_read(std::uint64_t read)
{
    if (auto found = reads_.extract(read))
        found.mapped()(true);
}

void pending_operations::abort_all()
{
    for (auto& [index, it] : std::exchange(commands_, {}))
        it.done({submit_status::unknown, std::nullopt, {}});
    for (auto& [index, it] : std::exchange(member_changes_, {}))
        it.done(replication::proposal_status::not_leader);
    for (auto& [read, done] : std::exchange(reads_, {}))
        done(false);
}

} // namespace ibisdyke::frontends
