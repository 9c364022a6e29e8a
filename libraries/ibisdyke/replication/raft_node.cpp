#include "ibisdyke/replication/raft_node.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace ibisdyke::replication {

raft_node::raft_node(raft_options options, const stored_state& stored, std::uint64_t seed, core::time_point now)
    : options_(std::move(options))
    , random_(seed)
    , vote_(stored.vote)
    , log_(stored)
    , commit_index_(std::clamp(stored.commit_index, log_.start().index, log_.last().index))
    , campaign_(random_())
{
    if (!log_.empty())
        restart_window_end_ = now + options_.restart_time;
    reset_election_timer(now);
}

output raft_node::step(const message& received, core::time_point now)
{
    output result;
    if (received.to != options_.self || received.from == options_.self)
        return result;
    std::visit([&](const auto& it) { handle(received, it, now, result); }, received.body);
    return result;
}

output raft_node::tick(core::time_point now)
{
    output result;
    if (role_ == raft_role::leader) {
        if (!has_active_quorum(configuration(), now)) {
            become_follower(vote_.term, std::nullopt, now, result);
            return result;
        }
        if (now >= heartbeat_due_)
            broadcast_append(now, result);
        update_membership(now, result);
        return result;
    }
    if (now < election_deadline_)
        return result;
    const auto lowest_id = std::min_element(options_.initial_members.begin(), options_.initial_members.end(),
        [](const auto& a, const auto& b) { return a.id < b.id; });
    if (may_campaign(now))
        start_campaign(vote_kind::pre_vote, now, result);
    else if (log_.empty() && lowest_id != options_.initial_members.end() && lowest_id->id == options_.self)
        start_campaign(vote_kind::bootstrap_pre_vote, now, result);
    else
        reset_election_timer(now);
    return result;
}

core::time_point raft_node::next_deadline() const
{
    return role_ == raft_role::leader ? heartbeat_due_ : election_deadline_;
}

bool raft_node::leads(core::time_point now) const
{
    return role_ == raft_role::leader && has_active_quorum(configuration(), now);
}

void raft_node::become_follower(
    std::uint64_t term, std::optional<core::control_id> leader, core::time_point now, output& result)
{
    if (term > vote_.term) {
        vote_ = {term, std::nullopt};
        save_ballot(result);
    }
    role_ = raft_role::follower;
    leader_ = leader;
    pending_reads_.clear();
    progress_.clear();
    reset_election_timer(now);
}

void raft_node::save_ballot(output& result) const
{
    result.writes.vote = vote_;
}

void raft_node::reset_election_timer(core::time_point now)
{
    // After a restart, a shorter timeout applies until the member hears from a leader or the restart window ends.
    const bool is_restarting = now < restart_window_end_ && !has_heard_leader_;
    const auto min_timeout = is_restarting ? options_.heartbeat : options_.min_election_timeout;
    const auto max_timeout = is_restarting ? options_.max_restart_timeout : options_.max_election_timeout;
    set_election_timer(now, min_timeout, std::max(min_timeout, max_timeout));
}

void raft_node::set_election_timer(core::time_point now, core::milliseconds min_timeout, core::milliseconds max_timeout)
{
    std::uniform_int_distribution<core::time_point::rep> timeout(
        core::time_point::duration(min_timeout).count(), core::time_point::duration(max_timeout).count());
    election_deadline_ = now + core::time_point::duration(timeout(random_));
}

raft_node::progress raft_node::create_progress(const member& recorded, std::uint64_t next_index, core::time_point now)
{
    progress result;
    result.folder_incarnation = recorded.folder_incarnation;
    result.admin_endpoint = recorded.admin_endpoint;
    result.next_index = next_index;
    result.last_contact = now;
    return result;
}

void raft_node::append(entry added, output& result)
{
    result.writes.entries.push_back(added);
    log_.append(std::move(added));
}

void raft_node::send(core::control_id to, message_body body, output& result) const
{
    result.messages.push_back(
        {options_.self, to, options_.folder_incarnation, options_.admin_endpoint, std::move(body)});
}

bool raft_node::has_active_quorum(const group_configuration& group, core::time_point now) const
{
    std::size_t active = 0;
    for (const auto& it : group.members) {
        const bool own = it.id == options_.self;
        if (counts_toward_quorum(it) && (own || now - progress_.at(it.id).last_contact < options_.max_election_timeout))
            ++active;
    }
    return active >= quorum_size(count_voters(group));
}

bool raft_node::is_voter(const group_configuration& group) const
{
    return std::any_of(group.members.begin(), group.members.end(), [&](const auto& it) {
        return it.id == options_.self && it.folder_incarnation == options_.folder_incarnation
            && it.role == member_role::voter;
    });
}

bool raft_node::counts_toward_quorum(const member& it) const
{
    if (it.role != member_role::voter)
        return false;
    if (it.id == options_.self)
        return it.folder_incarnation == options_.folder_incarnation;
    const auto found = progress_.find(it.id);
    return found != progress_.end() && found->second.folder_incarnation == it.folder_incarnation;
}

bool raft_node::has_lost_folder(const member& it) const
{
    const auto found = progress_.find(it.id);
    return it.role == member_role::voter && found != progress_.end()
        && found->second.folder_incarnation != core::incarnation{}
    && found->second.folder_incarnation != it.folder_incarnation;
}

voter_counts raft_node::count_voters(const group_configuration& group) const
{
    voter_counts result;
    for (const auto& it : group.members) {
        if (it.role == member_role::voter)
            ++result.voters;
        if (has_lost_folder(it))
            ++result.lost;
    }
    return result;
}

std::uint64_t raft_node::quorum_value(std::uint64_t progress::*field, std::uint64_t own_value) const
{
    auto result = quorum_value(configuration(), field, own_value);
    for (const auto* const it : active_configurations())
        result = std::min(result, quorum_value(*it, field, own_value));
    return result;
}

std::uint64_t raft_node::quorum_value(
    const group_configuration& group, std::uint64_t progress::*field, std::uint64_t own_value) const
{
    // All values, and those that also count toward a quorum of half of the voters.
    std::vector<std::uint64_t> values;
    std::vector<std::uint64_t> recent_values;
    for (const auto& it : group.members) {
        if (it.role != member_role::voter)
            continue;
        if (!counts_toward_quorum(it)) {
            values.push_back(0);
            recent_values.push_back(0);
            continue;
        }
        const bool own = it.id == options_.self;
        const auto value = own ? own_value : progress_.at(it.id).*field;
        const bool is_recent = own || progress_.at(it.id).answered_round >= first_round_after_loss_;
        values.push_back(value);
        recent_values.push_back(is_recent ? value : 0);
    }
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end(), std::greater<>());
    std::sort(recent_values.begin(), recent_values.end(), std::greater<>());
    return std::max(values[values.size() / 2], recent_values[quorum_size(count_voters(group)) - 1]);
}

std::vector<const group_configuration*> raft_node::active_configurations() const
{
    std::vector<const group_configuration*> result{&configuration()};
    const auto index = log_.configuration_index();
    if (index <= commit_index_)
        return result;
    // The first configuration of a group has none before it.
    const auto& previous = log_.configuration_at(index - 1);
    const bool half_possible =
        allows_half(count_voters(previous).voters) || allows_half(count_voters(configuration()).voters);
    if (!previous.members.empty() && half_possible)
        result.push_back(&previous);
    return result;
}

std::vector<member> raft_node::other_members() const
{
    std::vector<member> result;
    const auto is_known = [&result](const auto& it) {
        return std::any_of(result.begin(), result.end(), [&it](const auto& known) { return known.id == it.id; });
    };
    for (const auto* const group : active_configurations()) {
        for (const auto& it : group->members) {
            if (it.id != options_.self && !is_known(it))
                result.push_back(it);
        }
    }
    return result;
}

core::milliseconds raft_node::time_since_answer(core::control_id id, core::time_point now) const
{
    if (id == options_.self)
        return core::milliseconds{0};
    const auto found = progress_.find(id);
    if (found == progress_.end())
        return core::milliseconds::max();
    return std::chrono::duration_cast<core::milliseconds>(now - found->second.last_contact);
}

bool raft_node::has_recent_leader(core::milliseconds within, core::time_point now) const
{
    return leads(now) || (has_heard_leader_ && now - last_leader_contact_ < within);
}

std::uint64_t raft_node::match_index_of(core::control_id id) const
{
    if (id == options_.self)
        return log_.last().index;
    const auto found = progress_.find(id);
    return found == progress_.end() ? 0 : found->second.match_index;
}

} // namespace ibisdyke::replication
