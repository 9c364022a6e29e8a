#include "ibisdyke/replication/raft_node.h"

#include <algorithm>
#include <limits>
#include <utility>

// Log replication of raft_node: append requests, snapshots, commits and read index.

namespace ibisdyke::replication {

namespace {

/// The leader sends a snapshot chunk again when this many heartbeat periods have passed without an answer.
constexpr int snapshot_retry_heartbeats = 10;

} // namespace

bool raft_node::accept_leader(const message& received, std::uint64_t term, core::time_point now, output& result)
{
    if (term < vote_.term) {
        // The answer carries the current term but no round, because the round of the request belongs to an older term.
        // If the sender leads the current term by now, that round would confirm its reads wrongly.
        send(received.from, append_answer{vote_.term, false, 0, 0}, result);
        return false;
    }
    if (term == vote_.term && role_ == raft_role::leader)
        return false;
    become_follower(term, received.from, now, result);
    last_leader_contact_ = now;
    has_heard_leader_ = true;
    return true;
}

raft_node::progress* raft_node::progress_of_sender(
    const message& received, std::uint64_t term, core::time_point now, output& result)
{
    if (term > vote_.term) {
        become_follower(term, std::nullopt, now, result);
        return nullptr;
    }
    const auto found = progress_.find(received.from);
    if (role_ != raft_role::leader || term != vote_.term || found == progress_.end())
        return nullptr;
    return &found->second;
}

void raft_node::handle(const message& received, const append_request& request, core::time_point now, output& result)
{
    if (!accept_leader(received, request.term, now, result))
        return;
    // Committed entries agree with the leader's log, so only later entries are compared.
    auto matched = std::max(request.previous.index, commit_index_);
    if (request.previous.index >= commit_index_ && !log_.contains(request.previous)) {
        auto retry_index = std::min(log_.last().index, request.previous.index - 1);
        const auto term = log_.term_at(retry_index);
        while (retry_index > commit_index_ && retry_index > log_.start().index && term != request.previous.term
            && log_.term_at(retry_index) == term)
            --retry_index;
        send(received.from, append_answer{vote_.term, false, std::max(retry_index, commit_index_), request.round},
            result);
        return;
    }
    for (const auto& added : request.entries) {
        if (added.at.index <= matched)
            continue;
        if (!log_.contains(added.at))
            append(added, result);
        matched = added.at.index;
    }
    commit_to(std::min(request.commit_index, matched), result);
    send(received.from, append_answer{vote_.term, true, matched, request.round}, result);
}

void raft_node::handle(const message& received, const append_answer& answer, core::time_point now, output& result)
{
    auto* const known = progress_of_sender(received, answer.term, now, result);
    if (known == nullptr)
        return;
    auto& follower = *known;
    if (follower.folder_incarnation != received.folder_incarnation) {
        // A delayed answer from an earlier data folder must not replace the current incarnation. Rounds only increase,
        // so the current folder eventually answers a round that no earlier folder has seen.
        if (answer.round <= follower.answered_round)
            return;
        member current;
        current.folder_incarnation = received.folder_incarnation;
        follower = create_progress(current, log_.last().index + 1, now);
        first_round_after_loss_ = round_ + 1;
    }
    follower.last_contact = now;
    follower.admin_endpoint = received.admin_endpoint;
    const bool is_late = answer.round < follower.answered_round;
    follower.answered_round = std::max(follower.answered_round, answer.round);
    if (answer.accepted) {
        follower.match_index = std::max(follower.match_index, answer.index);
        follower.next_index = std::max(follower.next_index, follower.match_index + 1);
        advance_commit(result);
    } else if (!is_late) {
        follower.next_index = std::max(follower.match_index, answer.index) + 1;
    }
    confirm_reads(result);
    // advance_commit() ends the leadership when it commits a configuration in which this member is not a voter.
    if (role_ != raft_role::leader)
        return;
    if (follower.next_index <= log_.last().index)
        send_append(received.from, now, result);
    update_membership(now, result);
    send_timeout_now_if_caught_up(received.from, now, result);
}

void raft_node::handle(const message& received, const snapshot_request& request, core::time_point now, output& result)
{
    if (!accept_leader(received, request.term, now, result))
        return;
    if (request.last.index <= commit_index_) {
        send(received.from, append_answer{vote_.term, true, commit_index_, request.round}, result);
        return;
    }
    if (incoming_snapshot_last_ != request.last) {
        incoming_snapshot_last_ = request.last;
        incoming_snapshot_bytes_.clear();
    }
    if (request.offset == incoming_snapshot_bytes_.size())
        incoming_snapshot_bytes_ += request.bytes;
    if (incoming_snapshot_bytes_.size() < request.total_bytes) {
        send(received.from, snapshot_answer{vote_.term, request.last, incoming_snapshot_bytes_.size(), request.round},
            result);
        return;
    }
    auto base = std::make_shared<const snapshot>(
        snapshot{request.last, request.configuration, std::exchange(incoming_snapshot_bytes_, {})});
    incoming_snapshot_last_ = {};
    log_.compact(base, {});
    commit_index_ = request.last.index;
    result.received_snapshot = base;
    result.writes.base = base;
    result.writes.entries = log_.slice(request.last.index + 1, std::numeric_limits<std::size_t>::max());
    send(received.from, append_answer{vote_.term, true, commit_index_, request.round}, result);
}

void raft_node::handle(const message& received, const snapshot_answer& answer, core::time_point now, output& result)
{
    auto* const known = progress_of_sender(received, answer.term, now, result);
    if (known == nullptr)
        return;
    auto& follower = *known;
    if (follower.folder_incarnation != received.folder_incarnation)
        return;
    follower.last_contact = now;
    follower.answered_round = std::max(follower.answered_round, answer.round);
    if (follower.snapshot_last == answer.last && follower.snapshot_offset != answer.offset) {
        follower.snapshot_offset = answer.offset;
        send_snapshot(received.from, follower, now, result);
    }
    confirm_reads(result);
}

proposal raft_node::propose_entry(
    entry_kind kind, std::string command, group_configuration members, core::time_point now)
{
    proposal proposed;
    if (!accepts_commands(now))
        return proposed;
    proposed.status = proposal_status::appended;
    proposed.at = {vote_.term, log_.last().index + 1};
    append({proposed.at, kind, std::move(command), std::move(members)}, proposed.result);
    broadcast_append(now, proposed.result);
    advance_commit(proposed.result);
    return proposed;
}

proposal raft_node::propose(std::string command, core::time_point now)
{
    return propose_entry(entry_kind::command, std::move(command), {}, now);
}

void raft_node::send_append(core::control_id to, core::time_point now, output& result)
{
    auto& follower = progress_[to];
    append_request request;
    request.term = vote_.term;
    request.round = round_;
    if (follower.next_index <= log_.start().index) {
        const bool is_awaiting_answer = follower.snapshot_last == log_.base()->last
            && now - follower.snapshot_sent < options_.heartbeat * snapshot_retry_heartbeats;
        if (!is_awaiting_answer) {
            send_snapshot(to, follower, now, result);
            return;
        }
        // An empty request keeps the receiver from starting an election during the snapshot transfer.
        send(to, std::move(request), result);
        return;
    }
    request.previous = {log_.term_at(follower.next_index - 1), follower.next_index - 1};
    request.entries = log_.slice(follower.next_index, options_.max_append_bytes);
    request.commit_index = commit_index_;
    follower.next_index += request.entries.size();
    send(to, std::move(request), result);
}

void raft_node::send_snapshot(core::control_id to, progress& follower, core::time_point now, output& result) const
{
    const auto& base = *log_.base();
    if (follower.snapshot_last != base.last) {
        follower.snapshot_last = base.last;
        follower.snapshot_offset = 0;
    }
    follower.snapshot_sent = now;
    const auto offset = std::min<std::uint64_t>(follower.snapshot_offset, base.state.size());
    send(to,
        snapshot_request{vote_.term, base.last, base.configuration, offset, base.state.size(),
            base.state.substr(offset, options_.snapshot_chunk_bytes), round_},
        result);
}

void raft_node::broadcast_append(core::time_point now, output& result)
{
    ++round_;
    heartbeat_due_ = now + options_.heartbeat;
    for (const auto& it : other_members())
        send_append(it.id, now, result);
}

void raft_node::advance_commit(output& result)
{
    const auto index = quorum_value(&progress::match_index, log_.last().index);
    if (index > commit_index_ && log_.term_at(index) == vote_.term)
        commit_to(index, result);
}

void raft_node::commit_to(std::uint64_t index, output& result)
{
    while (commit_index_ < index) {
        ++commit_index_;
        result.committed.push_back(log_.at(commit_index_));
    }
    if (role_ != raft_role::leader || log_.configuration_index() > commit_index_ || is_voter(configuration()))
        return;
    // This member is not a voter of the committed configuration, so it steps down.
    role_ = raft_role::follower;
    leader_.reset();
    pending_reads_.clear();
    progress_.clear();
}

output raft_node::compact(std::uint64_t index, std::string state)
{
    output result;
    if (index > commit_index_ || index < log_.start().index || (log_.base() && index <= log_.base()->last.index))
        return result;
    const core::version last{log_.term_at(index), index};
    auto base = std::make_shared<const snapshot>(snapshot{last, log_.configuration_at(index), std::move(state)});
    log_.compact(base, options_.trailing);
    result.writes.base = std::move(base);
    result.writes.entries = log_.slice(index + 1, std::numeric_limits<std::size_t>::max());
    return result;
}

std::optional<std::uint64_t> raft_node::begin_read(core::time_point now, output& result)
{
    if (!leads(now) || !has_committed_in_term())
        return std::nullopt;
    broadcast_append(now, result);
    pending_reads_.insert(round_);
    confirm_reads(result);
    return round_;
}

void raft_node::confirm_reads(output& result)
{
    if (role_ != raft_role::leader || pending_reads_.empty())
        return;
    const auto confirmed = quorum_value(&progress::answered_round, round_);
    while (!pending_reads_.empty() && *pending_reads_.begin() <= confirmed) {
        result.confirmed_reads.push_back(*pending_reads_.begin());
        pending_reads_.erase(pending_reads_.begin());
    }
}

} // namespace ibisdyke::replication
