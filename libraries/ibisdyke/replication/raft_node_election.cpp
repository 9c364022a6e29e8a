#include "ibisdyke/replication/raft_node.h"

#include <algorithm>
#include <utility>

// Elections of raft_node: votes, the formation of a new group, and leadership transfer.

namespace ibisdyke::replication {

namespace {

bool is_bootstrap(vote_kind kind)
{
    return kind == vote_kind::bootstrap_pre_vote || kind == vote_kind::bootstrap;
}

bool is_pre_vote(vote_kind kind)
{
    return kind == vote_kind::pre_vote || kind == vote_kind::bootstrap_pre_vote;
}

} // namespace

void raft_node::start_campaign(vote_kind kind, core::time_point now, output& result)
{
    role_ = raft_role::candidate;
    leader_.reset();
    campaign_kind_ = kind;
    ++campaign_;
    granted_votes_.clear();
    if (kind != vote_kind::election)
        answering_folders_.clear();
    reset_election_timer(now);
    if (!is_pre_vote(kind)) {
        vote_ = {vote_.term + 1, options_.self};
        save_ballot(result);
    }
    const auto term = is_pre_vote(kind) ? vote_.term + 1 : vote_.term;
    const auto members = is_bootstrap(kind) ? options_.initial_members : other_members();
    for (const auto& it : members) {
        if (it.id != options_.self)
            send(it.id, vote_request{kind, term, log_.last(), campaign_}, result);
    }
    if (has_won(kind))
        advance_campaign(now, result);
}

bool raft_node::has_won(vote_kind kind) const
{
    if (is_bootstrap(kind))
        return granted_votes_.size() + 1 == options_.initial_members.size();
    const auto groups = active_configurations();
    return std::all_of(groups.begin(), groups.end(), [this](const auto* group) { return has_votes_of(*group); });
}

bool raft_node::has_votes_of(const group_configuration& group) const
{
    voter_counts counts;
    std::size_t votes = 0;
    for (const auto& it : group.members) {
        if (it.role != member_role::voter)
            continue;
        ++counts.voters;
        const auto folder = answering_folders_.find(it.id);
        if (folder != answering_folders_.end() && folder->second != it.folder_incarnation) {
            ++counts.lost;
            continue;
        }
        const auto answer = granted_votes_.find(it.id);
        const bool own = it.id == options_.self && it.folder_incarnation == options_.folder_incarnation;
        if (own || (answer != granted_votes_.end() && answer->second.first == it.folder_incarnation))
            ++votes;
    }
    return votes >= quorum_size(counts);
}

void raft_node::record_answering_folder(const message& received, const vote_answer& answer)
{
    const bool is_current = role_ == raft_role::candidate && answer.campaign == campaign_;
    if (is_current && campaign_kind_ == vote_kind::pre_vote && received.folder_incarnation != core::incarnation{})
        answering_folders_[received.from] = received.folder_incarnation;
}

void raft_node::advance_campaign(core::time_point now, output& result)
{
    switch (campaign_kind_) {
    case vote_kind::pre_vote:
        start_campaign(vote_kind::election, now, result);
        break;
    case vote_kind::bootstrap_pre_vote:
        start_campaign(vote_kind::bootstrap, now, result);
        break;
    case vote_kind::bootstrap:
        bootstrap_group(now, result);
        break;
    case vote_kind::election:
    case vote_kind::transfer:
        become_leader(now, result);
        break;
    }
}

void raft_node::become_leader(core::time_point now, output& result)
{
    role_ = raft_role::leader;
    leader_ = options_.self;
    progress_.clear();
    pending_reads_.clear();
    const auto next = log_.last().index + 1;
    for (const auto& it : other_members()) {
        auto& follower = progress_[it.id] = create_progress(it, next, now);
        // An election without a pre-vote has recorded no folders.
        if (const auto folder = answering_folders_.find(it.id); folder != answering_folders_.end())
            follower.folder_incarnation = folder->second;
    }
    first_round_after_loss_ = round_ + 1;
    append({{vote_.term, next}, entry_kind::leader_start, {}, {}}, result);
    broadcast_append(now, result);
    advance_commit(result);
}

void raft_node::bootstrap_group(core::time_point now, output& result)
{
    group_configuration group{options_.initial_members};
    for (auto& it : group.members) {
        it.role = member_role::voter;
        const bool own = it.id == options_.self;
        it.folder_incarnation = own ? options_.folder_incarnation : granted_votes_[it.id].first;
        it.admin_endpoint = own ? options_.admin_endpoint : granted_votes_[it.id].second;
    }
    role_ = raft_role::leader;
    leader_ = options_.self;
    progress_.clear();
    for (const auto& it : group.members) {
        if (it.id != options_.self)
            progress_[it.id] = create_progress(it, 1, now);
    }
    append({{vote_.term, 1}, entry_kind::configuration, {}, std::move(group)}, result);
    broadcast_append(now, result);
    advance_commit(result);
}

core::version raft_node::required_candidate_position() const
{
    const bool has_left = log_.configuration_index() <= commit_index_ && !is_voter(configuration());
    // Only a candidate that does not know that this member's removal is committed needs its vote. Later entries are
    // kept by the quorums without this member, and the candidate needs one of these as well. If this member insisted on
    // all entries of its log, a group could stay without a leader, because this member does not campaign either.
    return has_left ? core::version{log_.term_at(commit_index_), commit_index_} : log_.last();
}

bool raft_node::may_grant_vote(const vote_request& request, const message& received, core::time_point now) const
{
    const bool log_is_up_to_date = request.last >= required_candidate_position();
    const bool has_no_other_vote = !vote_.candidate || *vote_.candidate == received.from;
    const bool has_live_leader =
        leads(now) || (has_heard_leader_ && now - last_leader_contact_ < options_.min_election_timeout);
    switch (request.kind) {
    case vote_kind::bootstrap_pre_vote:
        return log_.empty();
    case vote_kind::bootstrap:
        // A term is granted only once, even to the same candidate: after losing its data folder, the candidate could
        // request votes in the same term again.
        return log_.empty() && request.term > vote_.term;
    case vote_kind::pre_vote:
        return request.term > vote_.term && log_is_up_to_date && !has_live_leader;
    case vote_kind::election:
        if (has_live_leader)
            return false;
        break;
    case vote_kind::transfer:
        break;
    }
    return log_is_up_to_date && (request.term > vote_.term || (request.term == vote_.term && has_no_other_vote));
}

void raft_node::handle(const message& received, const vote_request& request, core::time_point now, output& result)
{
    const bool granted = may_grant_vote(request, received, now);
    const bool has_live_leader =
        leads(now) || (has_heard_leader_ && now - last_leader_contact_ < options_.min_election_timeout);
    // The newer term of an election is adopted even if the vote is refused. While there is a live leader, a refused
    // request changes the term only in a leadership transfer, so that a member that returns from a partition cannot
    // depose that leader.
    const bool adopts_term =
        request.kind == vote_kind::transfer || (request.kind == vote_kind::election && !has_live_leader);
    if (request.term > vote_.term && (adopts_term || (granted && !is_pre_vote(request.kind))))
        become_follower(request.term, std::nullopt, now, result);
    if (granted && !is_pre_vote(request.kind)) {
        vote_.candidate = received.from;
        save_ballot(result);
        reset_election_timer(now);
    }
    send(received.from,
        vote_answer{
            request.kind, granted ? request.term : vote_.term, granted, received.folder_incarnation, request.campaign},
        result);
}

void raft_node::handle(const message& received, const vote_answer& answer, core::time_point now, output& result)
{
    if (answer.candidate_folder_incarnation != options_.folder_incarnation)
        return;
    record_answering_folder(received, answer);
    if (!answer.granted && answer.term > vote_.term && answer.kind != vote_kind::bootstrap_pre_vote) {
        become_follower(answer.term, std::nullopt, now, result);
        return;
    }
    if (role_ != raft_role::candidate || answer.kind != campaign_kind_)
        return;
    const auto expected = is_pre_vote(answer.kind) ? vote_.term + 1 : vote_.term;
    if (answer.granted && answer.term == expected)
        granted_votes_[received.from] = {received.folder_incarnation, received.admin_endpoint};
    if (has_won(answer.kind))
        advance_campaign(now, result);
}

void raft_node::handle(const message& received, const timeout_now& request, core::time_point now, output& result)
{
    if (request.term == vote_.term && leader_ == received.from && may_campaign(now))
        start_campaign(vote_kind::transfer, now, result);
}

output raft_node::transfer_leadership(core::time_point now, core::milliseconds timeout)
{
    output result;
    const auto& members = configuration().members;
    const bool has_other_voters = std::any_of(members.begin(), members.end(),
        [&](const auto& it) { return it.id != options_.self && it.role == member_role::voter; });
    if (role_ != raft_role::leader || !has_other_voters)
        return result;
    transfer_deadline_ = now + timeout;
    broadcast_append(now, result);
    return result;
}

void raft_node::send_timeout_now_if_caught_up(core::control_id to, core::time_point now, output& result)
{
    // Waits until the whole log is committed, so that commands in progress are answered while this member still leads.
    const auto last = log_.last().index;
    if (!is_transferring(now) || timeout_now_round_ == round_ || match_index_of(to) < last || commit_index_ < last)
        return;
    const auto& members = configuration().members;
    const auto successor = std::find_if(members.begin(), members.end(), [&](const auto& it) { return it.id == to; });
    if (successor == members.end() || !counts_toward_quorum(*successor))
        return;
    timeout_now_round_ = round_;
    send(to, timeout_now{vote_.term}, result);
}

bool raft_node::may_campaign(core::time_point now) const
{
    if (is_transferring(now))
        return false;
    if (is_voter(configuration()) || is_voter(log_.configuration_at(commit_index_)))
        return true;
    // While a member is being removed, it may be the only one whose log is complete enough to commit its removal. The
    // configuration before the newest one is checked as well, because this member's commit index may lie before the
    // configuration by which the other members still vote.
    const auto index = log_.configuration_index();
    return index > commit_index_ && is_voter(log_.configuration_at(index - 1));
}

} // namespace ibisdyke::replication
