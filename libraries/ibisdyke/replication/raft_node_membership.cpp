#include "ibisdyke/replication/raft_node.h"

#include <algorithm>
#include <iterator>
#include <utility>

// Membership changes of raft_node.

namespace ibisdyke::replication {

namespace {

bool contains(const group_configuration& group, core::control_id id)
{
    return std::any_of(group.members.begin(), group.members.end(), [&](const auto& it) { return it.id == id; });
}

} // namespace

proposal raft_node::add_member(const member& added, core::time_point now)
{
    auto group = configuration();
    if (contains(group, added.id))
        return {leads(now) ? proposal_status::not_allowed : proposal_status::not_leader, {}, {}};
    group.members.push_back(added);
    group.members.back().role = member_role::non_voter;
    return propose_configuration(std::move(group), now);
}

proposal raft_node::remove_member(core::control_id id, core::time_point now)
{
    auto group = configuration();
    const auto removed = std::erase_if(group.members, [&](const auto& it) { return it.id == id; });
    if (removed == 0)
        return {leads(now) ? proposal_status::not_allowed : proposal_status::not_leader, {}, {}};
    return propose_configuration(std::move(group), now);
}

proposal raft_node::propose_configuration(group_configuration members, core::time_point now)
{
    if (!accepts_commands(now))
        return {};
    // Majorities before and after a change of one member overlap only if the previous change is committed and this
    // leader has committed an entry of its own term.
    if (!has_committed_in_term() || log_.configuration_index() > commit_index_)
        return {proposal_status::busy, {}, {}};
    // Without answers from a majority of the new voters, the group could neither commit this change nor undo it.
    if (!has_active_quorum(members, now))
        return {proposal_status::not_allowed, {}, {}};
    for (const auto& it : members.members) {
        if (it.id != options_.self && !progress_.contains(it.id))
            progress_[it.id] = create_progress(it, log_.last().index + 1, now);
    }
    return propose_entry(entry_kind::configuration, {}, std::move(members), now);
}

void raft_node::update_membership(core::time_point now, output& result)
{
    if (!leads(now) || !has_committed_in_term() || log_.configuration_index() > commit_index_)
        return;
    auto group = configuration();
    for (auto& it : group.members) {
        if (it.id == options_.self && it.admin_endpoint != options_.admin_endpoint) {
            it.admin_endpoint = options_.admin_endpoint;
            propose_configuration(std::move(group), now, result);
            return;
        }
        const auto found = progress_.find(it.id);
        if (it.id == options_.self || found == progress_.end())
            continue;
        const auto& follower = found->second;
        const bool is_active = now - follower.last_contact < options_.max_election_timeout;
        if (follower.folder_incarnation == core::incarnation{} || !is_active)
            continue;
        const bool has_new_folder = follower.folder_incarnation != it.folder_incarnation;
        const bool is_caught_up = !has_new_folder && follower.match_index >= commit_index_;
        const bool has_new_admin_endpoint = it.admin_endpoint != follower.admin_endpoint;
        if (!has_new_folder && !has_new_admin_endpoint && (it.role == member_role::voter || !is_caught_up))
            continue;
        it.folder_incarnation = follower.folder_incarnation;
        it.admin_endpoint = follower.admin_endpoint;
        if (has_new_folder)
            it.role = member_role::non_voter;
        else if (is_caught_up)
            it.role = member_role::voter;
        propose_configuration(std::move(group), now, result);
        return;
    }
}

void raft_node::propose_configuration(group_configuration members, core::time_point now, output& result)
{
    auto proposed = propose_configuration(std::move(members), now);
    auto& added = proposed.result;
    std::move(added.writes.entries.begin(), added.writes.entries.end(), std::back_inserter(result.writes.entries));
    std::move(added.messages.begin(), added.messages.end(), std::back_inserter(result.messages));
    std::move(added.committed.begin(), added.committed.end(), std::back_inserter(result.committed));
}

} // namespace ibisdyke::replication
