#include "ibisdyke/replication/raft_node.h"

#include <algorithm>
#include <iterator>
#include <utility>

// The changes of the control group in raft_node.

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
    return change_group(std::move(group), now);
}

proposal raft_node::remove_member(core::control_id id, core::time_point now)
{
    auto group = configuration();
    const auto removed = std::erase_if(group.members, [&](const auto& it) { return it.id == id; });
    if (removed == 0)
        return {leads(now) ? proposal_status::not_allowed : proposal_status::not_leader, {}, {}};
    return change_group(std::move(group), now);
}

proposal raft_node::change_group(group_configuration members, core::time_point now)
{
    if (!accepts_commands(now))
        return {};
    // Changes of one member at a time keep any two majorities overlapping, but only if the change before is committed
    // and this leader has committed an entry of its own term.
    if (!is_current() || log_.configuration_index() > committed_)
        return {proposal_status::busy, {}, {}};
    // A group whose voters do not answer could never accept a change again, nor undo this one.
    if (!heard_from_majority(members, now))
        return {proposal_status::not_allowed, {}, {}};
    for (const auto& it : members.members) {
        if (it.id != options_.self && !progress_.contains(it.id))
            progress_[it.id] = start_progress(it, log_.last().index + 1, now);
    }
    return propose_entry(entry_kind::configuration, {}, std::move(members), now);
}

void raft_node::maintain_group(core::time_point now, output& result)
{
    if (!leads(now) || !is_current() || log_.configuration_index() > committed_)
        return;
    auto group = configuration();
    for (auto& it : group.members) {
        if (it.id == options_.self && it.admin_endpoint != options_.admin_endpoint) {
            it.admin_endpoint = options_.admin_endpoint;
            propose_group(std::move(group), now, result);
            return;
        }
        const auto found = progress_.find(it.id);
        if (it.id == options_.self || found == progress_.end())
            continue;
        const auto& state = found->second;
        const bool alive = now - state.heard < options_.max_election_timeout;
        if (state.disk == core::incarnation{} || !alive)
            continue;
        const bool wiped = state.disk != it.disk;
        const bool holds_state = !wiped && state.match >= committed_;
        const bool moved = it.admin_endpoint != state.admin_endpoint;
        if (!wiped && !moved && (it.role == member_role::voter || !holds_state))
            continue;
        it.disk = state.disk;
        it.admin_endpoint = state.admin_endpoint;
        if (wiped)
            it.role = member_role::non_voter;
        else if (holds_state)
            it.role = member_role::voter;
        propose_group(std::move(group), now, result);
        return;
    }
}

void raft_node::propose_group(group_configuration members, core::time_point now, output& result)
{
    auto made = change_group(std::move(members), now);
    auto& next = made.result;
    std::move(next.writes.entries.begin(), next.writes.entries.end(), std::back_inserter(result.writes.entries));
    std::move(next.messages.begin(), next.messages.end(), std::back_inserter(result.messages));
    std::move(next.committed.begin(), next.committed.end(), std::back_inserter(result.committed));
}

} // namespace ibisdyke::replication
