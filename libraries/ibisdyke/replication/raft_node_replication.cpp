#include "ibisdyke/replication/raft_node.h"

#include <algorithm>
#include <limits>
#include <utility>

// The log replication of raft_node: appends, snapshots, commits, and reads that a majority confirms.

namespace ibisdyke::replication {

namespace {

/// A chunk of a snapshot is sent again after this many heartbeats without an answer.
constexpr int snapshot_retry_heartbeats = 10;

} // namespace

bool raft_node::accept_leader(const message& from, std::uint64_t term, core::time_point now, output& result)
{
    if (term < ballot_.term) {
        // The round is left out: it belongs to the old term, and the answer carries the present one, which the same
        // member may lead by now.
        send(from.from, append_answer{ballot_.term, false, 0, 0}, result);
        return false;
    }
    if (term == ballot_.term && role_ == raft_role::leader)
        return false;
    follow(term, from.from, now, result);
    leader_heard_ = now;
    has_heard_leader_ = true;
    return true;
}

raft_node::progress* raft_node::answering_member(
    const message& from, std::uint64_t term, core::time_point now, output& result)
{
    if (term > ballot_.term) {
        follow(term, std::nullopt, now, result);
        return nullptr;
    }
    const auto found = progress_.find(from.from);
    if (role_ != raft_role::leader || term != ballot_.term || found == progress_.end())
        return nullptr;
    return &found->second;
}

void raft_node::handle(const message& from, const append_request& it, core::time_point now, output& result)
{
    if (!accept_leader(from, it.term, now, result))
        return;
    // What is committed here agrees with the leader's log, so only what follows is compared.
    auto matched = std::max(it.previous.index, committed_);
    if (it.previous.index >= committed_ && !log_.contains(it.previous)) {
        auto hint = std::min(log_.last().index, it.previous.index - 1);
        const auto term = log_.term_at(hint);
        while (hint > committed_ && hint > log_.start().index && term != it.previous.term && log_.term_at(hint) == term)
            --hint;
        send(from.from, append_answer{ballot_.term, false, std::max(hint, committed_), it.round}, result);
        return;
    }
    for (const auto& added : it.entries) {
        if (added.at.index <= matched)
            continue;
        if (!log_.contains(added.at))
            append(added, result);
        matched = added.at.index;
    }
    commit_to(std::min(it.committed, matched), result);
    send(from.from, append_answer{ballot_.term, true, matched, it.round}, result);
}

void raft_node::handle(const message& from, const append_answer& it, core::time_point now, output& result)
{
    auto* const known = answering_member(from, it.term, now, result);
    if (known == nullptr)
        return;
    auto& state = *known;
    if (state.disk != from.disk) {
        // A late answer of a former folder must not make a live member look wiped. Rounds only grow, so that the
        // present folder answers one that no former folder has seen.
        if (it.round <= state.round)
            return;
        member present;
        present.disk = from.disk;
        state = start_progress(present, log_.last().index + 1, now);
    }
    state.heard = now;
    state.admin_endpoint = from.admin_endpoint;
    const bool late = it.round < state.round;
    state.round = std::max(state.round, it.round);
    if (it.accepted) {
        state.match = std::max(state.match, it.index);
        state.next = std::max(state.next, state.match + 1);
        advance_commit(result);
    } else if (!late) {
        state.next = std::max(state.match, it.index) + 1;
    }
    confirm_reads(result);
    // Committing a configuration without this member ends its leadership.
    if (role_ != raft_role::leader)
        return;
    if (state.next <= log_.last().index)
        send_append(from.from, now, result);
    maintain_group(now, result);
    offer_leadership(from.from, now, result);
}

void raft_node::handle(const message& from, const snapshot_request& it, core::time_point now, output& result)
{
    if (!accept_leader(from, it.term, now, result))
        return;
    if (it.last.index <= committed_) {
        send(from.from, append_answer{ballot_.term, true, committed_, it.round}, result);
        return;
    }
    if (incoming_last_ != it.last) {
        incoming_last_ = it.last;
        incoming_.clear();
    }
    if (it.offset == incoming_.size())
        incoming_ += it.bytes;
    if (incoming_.size() < it.total_bytes) {
        send(from.from, snapshot_answer{ballot_.term, it.last, incoming_.size(), it.round}, result);
        return;
    }
    auto base = std::make_shared<const snapshot>(snapshot{it.last, it.configuration, std::exchange(incoming_, {})});
    incoming_last_ = {};
    log_.compact(base, 0);
    committed_ = it.last.index;
    result.restored = base;
    result.writes.base = base;
    result.writes.entries = log_.slice(it.last.index + 1, std::numeric_limits<std::size_t>::max());
    send(from.from, append_answer{ballot_.term, true, committed_, it.round}, result);
}

void raft_node::handle(const message& from, const snapshot_answer& it, core::time_point now, output& result)
{
    auto* const known = answering_member(from, it.term, now, result);
    if (known == nullptr)
        return;
    auto& state = *known;
    if (state.disk != from.disk)
        return;
    state.heard = now;
    state.round = std::max(state.round, it.round);
    if (state.snapshot_last == it.last && state.snapshot_offset != it.offset) {
        state.snapshot_offset = it.offset;
        send_snapshot(from.from, state, now, result);
    }
    confirm_reads(result);
}

proposal raft_node::propose_entry(
    entry_kind kind, std::string command, group_configuration members, core::time_point now)
{
    proposal made;
    if (!accepts_commands(now))
        return made;
    made.status = proposal_status::appended;
    made.at = {ballot_.term, log_.last().index + 1};
    append({made.at, kind, std::move(command), std::move(members)}, made.result);
    broadcast(now, made.result);
    advance_commit(made.result);
    return made;
}

proposal raft_node::propose(std::string command, core::time_point now)
{
    return propose_entry(entry_kind::command, std::move(command), {}, now);
}

void raft_node::send_append(core::control_id to, core::time_point now, output& result)
{
    auto& state = progress_[to];
    append_request request;
    request.term = ballot_.term;
    request.round = round_;
    if (state.next <= log_.start().index) {
        const bool waiting = state.snapshot_last == log_.base()->last
            && now - state.snapshot_sent < options_.heartbeat * snapshot_retry_heartbeats;
        if (!waiting) {
            send_snapshot(to, state, now, result);
            return;
        }
        // Keeps the receiver from holding an election while the snapshot is under way.
        send(to, std::move(request), result);
        return;
    }
    request.previous = {log_.term_at(state.next - 1), state.next - 1};
    request.entries = log_.slice(state.next, options_.max_append_bytes);
    request.committed = committed_;
    state.next += request.entries.size();
    send(to, std::move(request), result);
}

void raft_node::send_snapshot(core::control_id to, progress& state, core::time_point now, output& result) const
{
    const auto& base = *log_.base();
    if (state.snapshot_last != base.last) {
        state.snapshot_last = base.last;
        state.snapshot_offset = 0;
    }
    state.snapshot_sent = now;
    const auto offset = std::min<std::uint64_t>(state.snapshot_offset, base.state.size());
    send(to,
        snapshot_request{ballot_.term, base.last, base.configuration, offset, base.state.size(),
            base.state.substr(offset, options_.snapshot_chunk_bytes), round_},
        result);
}

void raft_node::broadcast(core::time_point now, output& result)
{
    ++round_;
    heartbeat_due_ = now + options_.heartbeat;
    for (const auto& id : others())
        send_append(id, now, result);
}

void raft_node::advance_commit(output& result)
{
    const auto index = reached_by_majority(&progress::match, log_.last().index);
    if (index > committed_ && log_.term_at(index) == ballot_.term)
        commit_to(index, result);
}

void raft_node::commit_to(std::uint64_t index, output& result)
{
    while (committed_ < index) {
        ++committed_;
        result.committed.push_back(log_.at(committed_));
    }
    if (role_ != raft_role::leader || log_.configuration_index() > committed_ || is_voter(configuration()))
        return;
    // The committed configuration no longer has this member as a voter.
    role_ = raft_role::follower;
    leader_.reset();
    reads_.clear();
    progress_.clear();
}

output raft_node::compact(std::uint64_t index, std::string state)
{
    output result;
    if (index > committed_ || index < log_.start().index || (log_.base() && index <= log_.base()->last.index))
        return result;
    const core::version last{log_.term_at(index), index};
    auto base = std::make_shared<const snapshot>(snapshot{last, log_.configuration_at(index), std::move(state)});
    log_.compact(base, options_.trailing_entries);
    result.writes.base = std::move(base);
    result.writes.entries = log_.slice(index + 1, std::numeric_limits<std::size_t>::max());
    return result;
}

std::optional<std::uint64_t> raft_node::begin_read(core::time_point now, output& result)
{
    if (!leads(now) || !is_current())
        return std::nullopt;
    broadcast(now, result);
    reads_.insert(round_);
    confirm_reads(result);
    return round_;
}

void raft_node::confirm_reads(output& result)
{
    if (role_ != raft_role::leader || reads_.empty())
        return;
    const auto confirmed = reached_by_majority(&progress::round, round_);
    while (!reads_.empty() && *reads_.begin() <= confirmed) {
        result.confirmed_reads.push_back(*reads_.begin());
        reads_.erase(reads_.begin());
    }
}

} // namespace ibisdyke::replication
