#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/ids.h"
#include "ibisdyke/core/version.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ibisdyke::replication {

enum class member_role : std::uint8_t {
    /// Receives the log and counts for no majority.
    non_voter,
    voter,
};

/// A control process as the control group records it.
struct member {
    core::control_id id;
    /// The incarnation of the member's data folder. A process whose folder was lost has another one, so its answers
    /// count for no majority until the group has recorded the new incarnation. Zero: not known yet.
    core::incarnation disk;
    member_role role = member_role::non_voter;
    /// Where the member takes messages of the other members.
    core::endpoint peer_endpoint;
    /// Where the member serves the administration API.
    core::endpoint admin_endpoint;

    friend bool operator==(const member&, const member&) = default;
};

/// The members of the control group. Takes effect as soon as it is in a member's log, committed or not.
struct group_configuration {
    std::vector<member> members;

    friend bool operator==(const group_configuration&, const group_configuration&) = default;
};

enum class entry_kind : std::uint8_t {
    /// Appended by a new leader, because only entries of its own term may be counted as committed.
    leader_start,
    /// An opaque command for the state machine.
    command,
    /// A new group configuration.
    configuration,
};

/// One record of the log.
struct entry {
    core::version at;
    entry_kind kind = entry_kind::leader_start;
    std::string command;
    group_configuration configuration;

    friend bool operator==(const entry&, const entry&) = default;
};

/// The term that a member has seen and whom it voted for in it.
struct vote {
    std::uint64_t term = 0;
    std::optional<core::control_id> candidate;

    friend bool operator==(const vote&, const vote&) = default;
};

/// The state of the state machine after the record at `last`, in place of the log up to there.
struct snapshot {
    core::version last;
    group_configuration configuration;
    std::string state;

    friend bool operator==(const snapshot&, const snapshot&) = default;
};

using snapshot_pointer = std::shared_ptr<const snapshot>;

enum class vote_kind : std::uint8_t {
    /// Asks whether a vote would be granted; changes nothing at the receiver.
    probe,
    election,
    /// An election that the present leader asked for, so a recent message from it is no reason to refuse.
    transfer,
    /// Asks whether the receiver has no state at all.
    bootstrap_probe,
    /// Forms a new group: needs the vote of every initial member, each without any state.
    bootstrap,
};

struct vote_request {
    vote_kind kind = vote_kind::probe;
    std::uint64_t term = 0;
    core::version last;

    friend bool operator==(const vote_request&, const vote_request&) = default;
};

struct vote_answer {
    vote_kind kind = vote_kind::probe;
    /// The term of the request when granted, the receiver's term when not.
    std::uint64_t term = 0;
    bool granted = false;
    /// The incarnation that asked. A candidate whose folder was lost must not count answers to its former self.
    core::incarnation candidate_disk;

    friend bool operator==(const vote_answer&, const vote_answer&) = default;
};

/// Also the heartbeat, when there are no entries to send.
struct append_request {
    std::uint64_t term = 0;
    core::version previous;
    std::vector<entry> entries;
    std::uint64_t committed = 0;
    /// Echoed in the answer; confirms that the receiver still followed this leader when the round began.
    std::uint64_t round = 0;

    friend bool operator==(const append_request&, const append_request&) = default;
};

struct append_answer {
    std::uint64_t term = 0;
    bool accepted = false;
    /// When accepted, the index up to which the logs agree; otherwise the index to try next.
    std::uint64_t index = 0;
    std::uint64_t round = 0;

    friend bool operator==(const append_answer&, const append_answer&) = default;
};

struct snapshot_request {
    std::uint64_t term = 0;
    core::version last;
    group_configuration configuration;
    std::uint64_t offset = 0;
    std::uint64_t total_bytes = 0;
    std::string bytes;
    std::uint64_t round = 0;

    friend bool operator==(const snapshot_request&, const snapshot_request&) = default;
};

struct snapshot_answer {
    std::uint64_t term = 0;
    core::version last;
    /// The offset that the receiver needs next.
    std::uint64_t offset = 0;
    std::uint64_t round = 0;

    friend bool operator==(const snapshot_answer&, const snapshot_answer&) = default;
};

/// Asks the receiver to hold an election at once, because the leader is about to stop.
struct timeout_now {
    std::uint64_t term = 0;

    friend bool operator==(const timeout_now&, const timeout_now&) = default;
};

using message_body = std::variant<vote_request, vote_answer, append_request, append_answer, snapshot_request,
    snapshot_answer, timeout_now>;

/// Answers a process that asks to join the group.
struct join_answer {
    /// The peer endpoint of the leader, when it is known.
    std::optional<core::endpoint> leader;

    friend bool operator==(const join_answer&, const join_answer&) = default;
};

struct message {
    core::control_id from;
    core::control_id to;
    /// The incarnation of the sender's data folder.
    core::incarnation disk;
    /// Where the sender serves the administration API, for the record of the group.
    core::endpoint admin_endpoint;
    message_body body;

    friend bool operator==(const message&, const message&) = default;
};

/// What must be durable before any message of the same output is sent and any entry of it is applied.
struct write_batch {
    std::optional<vote> ballot;
    /// When set, the log consists of this snapshot and `entries` afterwards, whatever it held before.
    snapshot_pointer base;
    /// Each entry replaces the stored ones of its index and above.
    std::vector<entry> entries;
    /// The index up to which the log is known to be committed; 0 says nothing. Need not be durable at any time: it lets
    /// a restarted member show its state before it has heard of a leader.
    std::uint64_t committed = 0;

    bool empty() const { return !ballot && !base && entries.empty() && committed == 0; }

    friend bool operator==(const write_batch&, const write_batch&) = default;
};

/// What a member holds on disk.
struct stored_state {
    vote ballot;
    /// Null before the first snapshot.
    snapshot_pointer base;
    /// The log after the snapshot.
    std::vector<entry> entries;
    /// The log is committed up to this index at least.
    std::uint64_t committed = 0;

    friend bool operator==(const stored_state&, const stored_state&) = default;
};

/// What a step asks of its caller, in this order: make `writes` durable, send `messages`, load `restored` into the
/// state machine, apply `committed`.
struct output {
    write_batch writes;
    std::vector<message> messages;
    /// A snapshot that a leader sent; null otherwise.
    snapshot_pointer restored;
    std::vector<entry> committed;
    /// Reads asked for with begin_read() that a majority has confirmed, oldest first.
    std::vector<std::uint64_t> confirmed_reads;

    friend bool operator==(const output&, const output&) = default;
};

} // namespace ibisdyke::replication
