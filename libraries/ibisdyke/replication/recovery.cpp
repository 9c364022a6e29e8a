#include "ibisdyke/replication/recovery.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/replication/raft_log.h"

#include <algorithm>

namespace ibisdyke::replication {

write_batch recover_alone(const stored_state& stored, core::control_id self, core::incarnation folder_incarnation,
    const core::version& confirmed)
{
    const raft_log log(stored);
    if (log.last() != confirmed)
        throw core::invalid_input("--recover-alone", to_string(confirmed),
            "the last position of this folder's log, " + to_string(log.last()));
    const auto& members = log.configuration().members;
    const auto own = std::find_if(members.begin(), members.end(), [&](const auto& it) { return it.id == self; });
    if (own == members.end())
        throw core::system_failure("the stored group has no member " + std::to_string(self.value()));
    auto survivor = *own;
    survivor.folder_incarnation = folder_incarnation;
    survivor.role = member_role::voter;
    const auto term = std::max(stored.vote.term, log.last().term) + 1;
    return {term_and_vote{term, std::nullopt}, nullptr,
        {{{term, log.last().index + 1}, entry_kind::configuration, {}, {{survivor}}}}};
}

} // namespace ibisdyke::replication
