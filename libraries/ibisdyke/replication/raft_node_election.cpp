#include "ibisdyke/replication/raft_node.h"

#include <algorithm>
#include <utility>

// The elections of raft_node: votes, the first term of a group, and the hand-over of leadership.

namespace ibisdyke::replication {

namespace {

bool is_initial_vote(vote_kind kind)
{
    return kind == vote_kind::bootstrap_probe || kind == vote_kind::bootstrap;
}

bool is_probe(vote_kind kind)
{
    return kind == vote_kind::probe || kind == vote_kind::bootstrap_probe;
}

} // namespace

void raft_node::campaign(vote_kind kind, core::time_point now, output& result)
{
    role_ = raft_role::candidate;
    leader_.reset();
    campaign_kind_ = kind;
    granted_.clear();
    reset_election_timer(now);
    if (!is_probe(kind)) {
        ballot_ = {ballot_.term + 1, options_.self};
        save_ballot(result);
    }
    const auto term = is_probe(kind) ? ballot_.term + 1 : ballot_.term;
    const auto& members = is_initial_vote(kind) ? options_.initial_members : configuration().members;
    for (const auto& it : members) {
        if (it.id != options_.self)
            send(it.id, vote_request{kind, term, log_.last()}, result);
    }
    if (has_won(kind))
        advance_campaign(now, result);
}

bool raft_node::has_won(vote_kind kind) const
{
    if (is_initial_vote(kind))
        return granted_.size() + 1 == options_.initial_members.size();
    std::size_t voters = 0;
    std::size_t votes = 0;
    for (const auto& it : configuration().members) {
        if (it.role != member_role::voter)
            continue;
        ++voters;
        const auto answer = granted_.find(it.id);
        const bool own = it.id == options_.self && it.disk == options_.disk;
        if (own || (answer != granted_.end() && answer->second.first == it.disk))
            ++votes;
    }
    return votes * 2 > voters;
}

void raft_node::advance_campaign(core::time_point now, output& result)
{
    switch (campaign_kind_) {
    case vote_kind::probe:
        campaign(vote_kind::election, now, result);
        break;
    case vote_kind::bootstrap_probe:
        campaign(vote_kind::bootstrap, now, result);
        break;
    case vote_kind::bootstrap:
        form_group(now, result);
        break;
    case vote_kind::election:
    case vote_kind::transfer:
        lead(now, result);
        break;
    }
}

void raft_node::lead(core::time_point now, output& result)
{
    role_ = raft_role::leader;
    leader_ = options_.self;
    progress_.clear();
    reads_.clear();
    const auto next = log_.last().index + 1;
    for (const auto& it : configuration().members) {
        if (it.id != options_.self)
            progress_[it.id] = start_progress(it, next, now);
    }
    append({{ballot_.term, next}, entry_kind::leader_start, {}, {}}, result);
    broadcast(now, result);
    advance_commit(result);
}

void raft_node::form_group(core::time_point now, output& result)
{
    group_configuration group{options_.initial_members};
    for (auto& it : group.members) {
        it.role = member_role::voter;
        const bool own = it.id == options_.self;
        it.disk = own ? options_.disk : granted_[it.id].first;
        it.admin_endpoint = own ? options_.admin_endpoint : granted_[it.id].second;
    }
    role_ = raft_role::leader;
    leader_ = options_.self;
    progress_.clear();
    for (const auto& it : group.members) {
        if (it.id != options_.self)
            progress_[it.id] = start_progress(it, 1, now);
    }
    append({{ballot_.term, 1}, entry_kind::configuration, {}, std::move(group)}, result);
    broadcast(now, result);
    advance_commit(result);
}

bool raft_node::may_grant(const vote_request& it, const message& from, core::time_point now) const
{
    const bool fresh_candidate = it.last >= log_.last();
    const bool unpledged = !ballot_.candidate || *ballot_.candidate == from.from;
    const bool leader_alive = leads(now) || (has_heard_leader_ && now - leader_heard_ < options_.min_election_timeout);
    switch (it.kind) {
    case vote_kind::bootstrap_probe:
        return log_.empty();
    case vote_kind::bootstrap:
        // A candidate that lost its folder may ask again in the same term, so no term is granted twice.
        return log_.empty() && it.term > ballot_.term;
    case vote_kind::probe:
        return it.term > ballot_.term && fresh_candidate && !leader_alive;
    case vote_kind::election:
        if (leader_alive)
            return false;
        break;
    case vote_kind::transfer:
        break;
    }
    return fresh_candidate && (it.term > ballot_.term || (it.term == ballot_.term && unpledged));
}

void raft_node::handle(const message& from, const vote_request& it, core::time_point now, output& result)
{
    const bool granted = may_grant(it, from, now);
    const bool leader_alive = leads(now) || (has_heard_leader_ && now - leader_heard_ < options_.min_election_timeout);
    // A newer term is adopted even when the vote is refused, except while a leader is known to live: a member that was
    // cut off must not unseat it.
    const bool adopts = it.kind == vote_kind::transfer || (it.kind == vote_kind::election && !leader_alive);
    if (it.term > ballot_.term && (adopts || (granted && !is_probe(it.kind))))
        follow(it.term, std::nullopt, now, result);
    if (granted && !is_probe(it.kind)) {
        ballot_.candidate = from.from;
        save_ballot(result);
        reset_election_timer(now);
    }
    send(from.from, vote_answer{it.kind, granted ? it.term : ballot_.term, granted, from.disk}, result);
}

void raft_node::handle(const message& from, const vote_answer& it, core::time_point now, output& result)
{
    if (it.candidate_disk != options_.disk)
        return;
    if (!it.granted) {
        if (it.term > ballot_.term && it.kind != vote_kind::bootstrap_probe)
            follow(it.term, std::nullopt, now, result);
        return;
    }
    const auto expected = is_probe(it.kind) ? ballot_.term + 1 : ballot_.term;
    if (role_ != raft_role::candidate || it.kind != campaign_kind_ || it.term != expected)
        return;
    granted_[from.from] = {from.disk, from.admin_endpoint};
    if (has_won(it.kind))
        advance_campaign(now, result);
}

void raft_node::handle(const message& from, const timeout_now& it, core::time_point now, output& result)
{
    if (it.term == ballot_.term && leader_ == from.from && may_campaign(now))
        campaign(vote_kind::transfer, now, result);
}

output raft_node::transfer_leadership(core::time_point now, core::milliseconds limit)
{
    output result;
    const auto& members = configuration().members;
    const bool has_others = std::any_of(members.begin(), members.end(),
        [&](const auto& it) { return it.id != options_.self && it.role == member_role::voter; });
    if (role_ != raft_role::leader || !has_others)
        return result;
    transfer_until_ = now + limit;
    broadcast(now, result);
    return result;
}

void raft_node::offer_leadership(core::control_id to, core::time_point now, output& result)
{
    // Commands in progress are answered before this member loses the leadership.
    const auto last = log_.last().index;
    if (!is_transferring(now) || offered_round_ == round_ || match_of(to) < last || committed_ < last)
        return;
    const auto& members = configuration().members;
    const auto heir = std::find_if(members.begin(), members.end(), [&](const auto& it) { return it.id == to; });
    if (heir == members.end() || !counts(*heir))
        return;
    offered_round_ = round_;
    send(to, timeout_now{ballot_.term}, result);
}

bool raft_node::may_campaign(core::time_point now) const
{
    if (is_transferring(now))
        return false;
    if (is_voter(configuration()) || is_voter(log_.configuration_at(committed_)))
        return true;
    // A member that is being removed may be the only one whose log is complete enough to commit its own removal. Its
    // own committed index may lie before the configuration that the others still vote with.
    const auto index = log_.configuration_index();
    return index > committed_ && is_voter(log_.configuration_at(index - 1));
}

} // namespace ibisdyke::replication
