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
    /// Receives the log but does not count toward a majority.
    non_voter,
    voter,
};

/// A control process as recorded in the group configuration.
struct member {
    core::control_id id;
    /// The incarnation of the member's data folder, or 0 while it is unknown. A process that lost its folder has a new
    /// incarnation, and its answers count toward no majority until the group has recorded that incarnation.
    core::incarnation folder_incarnation;
    member_role role = member_role::non_voter;
    /// The address at which the member receives messages from other members.
    core::endpoint peer_endpoint;
    /// The address at which the member serves the administration API.
    core::endpoint admin_endpoint;

    friend bool operator==(const member&, const member&) = default;
};

/// The members of the control group. A configuration takes effect as soon as it is in a member's log, whether or not it
/// is committed.
struct group_configuration {
    std::vector<member> members;

    friend bool operator==(const group_configuration&, const group_configuration&) = default;
};

enum class entry_kind : std::uint8_t {
    /// Appended by a new leader, because a leader may only commit earlier entries together with an entry of its own
    /// term.
    leader_start,
    /// An opaque command for the state machine.
    command,
    /// A new group configuration.
    configuration,
};

/// One entry of the log.
struct entry {
    core::version at;
    entry_kind kind = entry_kind::leader_start;
    std::string command;
    group_configuration configuration;

    friend bool operator==(const entry&, const entry&) = default;
};

/// The latest term that a member has seen, and the candidate that it voted for in this term.
struct term_and_vote {
    std::uint64_t term = 0;
    std::optional<core::control_id> candidate;

    friend bool operator==(const term_and_vote&, const term_and_vote&) = default;
};

/// The state of the state machine after the entry at `last`. Replaces the log up to and including this entry.
struct snapshot {
    core::version last;
    group_configuration configuration;
    std::string state;

    friend bool operator==(const snapshot&, const snapshot&) = default;
};

using snapshot_pointer = std::shared_ptr<const snapshot>;

enum class vote_kind : std::uint8_t {
    /// Checks whether the receiver would grant its vote, without changing the state of the receiver.
    pre_vote,
    election,
    /// An election that the current leader requested by a leadership transfer. The receiver grants its vote even if it
    /// has heard from that leader recently.
    transfer,
    /// The pre-vote of `bootstrap`. Granted only by a receiver without state.
    bootstrap_pre_vote,
    /// An election that forms a new group. Needs the votes of all initial members, none of which may have any state.
    bootstrap,
};

struct vote_request {
    vote_kind kind = vote_kind::pre_vote;
    std::uint64_t term = 0;
    core::version last;
    /// The number of the campaign, which is returned in the answer. Different for each campaign of a process.
    std::uint64_t campaign = 0;

    friend bool operator==(const vote_request&, const vote_request&) = default;
};

struct vote_answer {
    vote_kind kind = vote_kind::pre_vote;
    /// The term of the request if the vote was granted, otherwise the term of the sender of this answer.
    std::uint64_t term = 0;
    bool granted = false;
    /// The incarnation from the request. A candidate that has lost its data folder since ignores the answer.
    core::incarnation candidate_folder_incarnation;
    /// The campaign from the request. Shows the candidate that the sender answered from its current data folder after
    /// the campaign began.
    std::uint64_t campaign = 0;

    friend bool operator==(const vote_answer&, const vote_answer&) = default;
};

/// Replicates entries. Serves as the heartbeat when it holds no entries.
struct append_request {
    std::uint64_t term = 0;
    core::version previous;
    std::vector<entry> entries;
    std::uint64_t commit_index = 0;
    /// Returned in the answer, which confirms that the receiver still followed this leader when the round began.
    std::uint64_t round = 0;

    friend bool operator==(const append_request&, const append_request&) = default;
};

struct append_answer {
    std::uint64_t term = 0;
    bool accepted = false;
    /// If accepted, the index up to which the logs match. Otherwise, the previous index for the leader to try next.
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
    /// The offset of the next chunk that the receiver needs.
    std::uint64_t offset = 0;
    std::uint64_t round = 0;

    friend bool operator==(const snapshot_answer&, const snapshot_answer&) = default;
};

/// Makes the receiver start an election at once. Sent during a leadership transfer.
struct timeout_now {
    std::uint64_t term = 0;

    friend bool operator==(const timeout_now&, const timeout_now&) = default;
};

using message_body = std::variant<vote_request, vote_answer, append_request, append_answer, snapshot_request,
    snapshot_answer, timeout_now>;

/// The answer to a process that requests to join the group.
struct join_answer {
    /// The peer endpoint of the leader, if known.
    std::optional<core::endpoint> leader;

    friend bool operator==(const join_answer&, const join_answer&) = default;
};

struct message {
    core::control_id from;
    core::control_id to;
    /// The incarnation of the sender's data folder.
    core::incarnation folder_incarnation;
    /// The address of the sender's administration API. The leader records it in the group configuration.
    core::endpoint admin_endpoint;
    message_body body;

    friend bool operator==(const message&, const message&) = default;
};

/// The writes of an output. They must be durable before the messages of the output are sent and its entries are
/// applied.
struct write_batch {
    std::optional<term_and_vote> vote;
    /// If set, replaces the whole stored log by this snapshot followed by `entries`.
    snapshot_pointer base;
    /// Each entry replaces the stored entries at its index and above.
    std::vector<entry> entries;
    /// The commit index, or 0 if it is not recorded in this batch. Safety does not depend on its durability. It lets a
    /// restarted member serve its state before it has heard from a leader.
    std::uint64_t commit_index = 0;

    bool empty() const { return !vote && !base && entries.empty() && commit_index == 0; }

    friend bool operator==(const write_batch&, const write_batch&) = default;
};

/// The state that a member has stored durably.
struct stored_state {
    term_and_vote vote;
    /// Null before the first snapshot.
    snapshot_pointer base;
    /// The log after the snapshot.
    std::vector<entry> entries;
    /// The log is committed at least up to this index.
    std::uint64_t commit_index = 0;

    friend bool operator==(const stored_state&, const stored_state&) = default;
};

/// The work that a raft_node requests from its caller. The order is: make `writes` durable, send `messages`, load
/// `received_snapshot` into the state machine, apply `committed`.
struct output {
    write_batch writes;
    std::vector<message> messages;
    /// The snapshot that this member received from the leader, or null.
    snapshot_pointer received_snapshot;
    std::vector<entry> committed;
    /// The numbers of the reads started by begin_read() that a majority has confirmed, oldest first.
    std::vector<std::uint64_t> confirmed_reads;

    friend bool operator==(const output&, const output&) = default;
};

} // namespace ibisdyke::replication
