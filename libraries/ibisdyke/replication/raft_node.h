#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/replication/messages.h"
#include "ibisdyke/replication/raft_log.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ibisdyke::replication {

/// Settings of a member.
struct raft_options {
    core::control_id self;
    /// The incarnation of this member's data folder.
    core::incarnation disk;
    /// Where this member serves the administration API, as others reach it.
    core::endpoint admin_endpoint;
    /// The members that form a new group when none of them holds any state. Empty for a member that joins a group.
    std::vector<member> initial_members;
    core::milliseconds heartbeat{50};
    /// A follower that hears nothing from a leader holds an election after a random time between these two.
    core::milliseconds min_election_timeout{150};
    core::milliseconds max_election_timeout{300};
    /// Within `restart_time` after a start, a member that has a log waits for a random time up to this before it holds
    /// an election: a living leader is heard of sooner, and when all members have restarted every wait adds to the time
    /// without control.
    core::milliseconds max_restart_timeout{150};
    core::milliseconds restart_time{2'000};
    std::size_t max_append_bytes = std::size_t{1024} * 1024;
    std::size_t snapshot_chunk_bytes = std::size_t{1024} * 1024;
    /// Log entries kept in memory after a snapshot, so that a member that is a few entries behind needs no snapshot.
    std::uint64_t trailing_entries = 256;
};

enum class raft_role : std::uint8_t {
    follower,
    candidate,
    leader,
};

/// Whether a proposal was appended.
enum class proposal_status : std::uint8_t {
    appended,
    /// This member does not lead, or hands over.
    not_leader,
    /// Another change of the group is in progress, or the leader has not committed an entry of its term yet.
    busy,
    /// The member named is (or is not) in the group, or it is the last voter.
    not_allowed,
};

struct proposal {
    proposal_status status = proposal_status::not_leader;
    core::version at;
    output result;
};

/// One member of the control group: the decisions of the Raft protocol without I/O, clock or threads.
///
/// The caller carries out each output before it makes the next call whose result depends on it; outputs may be
/// collected and their writes synced together.
class raft_node {
public:
    /// `seed` makes election timeouts random.
    raft_node(raft_options options, const stored_state& stored, std::uint64_t seed, core::time_point now);

    /// Processes a message of another member.
    output step(const message& received, core::time_point now);

    /// Does what is due. To be called at next_deadline() or later.
    output tick(core::time_point now);

    core::time_point next_deadline() const;

    /// Appends a command, when this member leads.
    proposal propose(std::string command, core::time_point now);

    /// Adds a member as non-voter. It becomes a voter by itself once it holds the state.
    proposal add_member(const member& added, core::time_point now);
    proposal remove_member(core::control_id id, core::time_point now);

    /// Asks a majority to confirm that this member still leads. Returns the number that `confirmed_reads` will name;
    /// the state up to committed() at the time of the call may then be read. Nothing when this member does not lead.
    std::optional<std::uint64_t> begin_read(core::time_point now, output& result);

    /// Asks the first other voter that answers with the whole log to take over. Until `limit` has passed this member
    /// refuses commands, so that the others can reach the end of its log, and holds no elections. Does nothing when it
    /// does not lead or is the only voter.
    output transfer_leadership(core::time_point now, core::milliseconds limit);

    /// Whether this member is handing leadership over.
    bool is_transferring(core::time_point now) const { return now < transfer_until_; }

    /// Whether this member leads and takes commands and changes of the group.
    bool accepts_commands(core::time_point now) const { return leads(now) && !is_transferring(now); }

    /// Replaces the log up to `index`, which must have been applied, by the state after it.
    output compact(std::uint64_t index, std::string state);

    /// Whether this member leads and has heard from a majority within the shortest election timeout.
    bool leads(core::time_point now) const;

    /// Whether the leader has committed an entry of its own term, so that its state holds every committed entry.
    bool is_current() const { return log_.term_at(committed_) == ballot_.term; }

    /// How long ago the leader heard from a member; 0 for the leader itself, and the largest time for a process that is
    /// no member.
    core::milliseconds silence_of(core::control_id id, core::time_point now) const;

    /// Whether this member leads or has heard from a leader within the time.
    bool has_heard_leader(core::milliseconds within, core::time_point now) const;

    raft_role role() const { return role_; }
    std::optional<core::control_id> leader() const { return leader_; }
    std::uint64_t term() const { return ballot_.term; }
    std::uint64_t committed() const { return committed_; }
    const raft_log& log() const { return log_; }
    const group_configuration& configuration() const { return log_.configuration(); }
    const raft_options& options() const { return options_; }

    /// The index up to which the leader knows a member's log to agree with its own. For operators.
    std::uint64_t match_of(core::control_id id) const;

private:
    /// What the leader knows about another member.
    struct progress {
        core::incarnation disk;
        core::endpoint admin_endpoint;
        std::uint64_t next = 1;
        std::uint64_t match = 0;
        /// The latest round that the member has answered, with any folder.
        std::uint64_t round = 0;
        std::uint64_t snapshot_offset = 0;
        core::version snapshot_last;
        core::time_point heard;
        core::time_point snapshot_sent;
    };

    static progress start_progress(const member& of, std::uint64_t next, core::time_point now);
    void handle(const message& from, const vote_request& it, core::time_point now, output& result);
    void handle(const message& from, const vote_answer& it, core::time_point now, output& result);
    void handle(const message& from, const append_request& it, core::time_point now, output& result);
    void handle(const message& from, const append_answer& it, core::time_point now, output& result);
    void handle(const message& from, const snapshot_request& it, core::time_point now, output& result);
    void handle(const message& from, const snapshot_answer& it, core::time_point now, output& result);
    void handle(const message& from, const timeout_now& it, core::time_point now, output& result);

    void follow(std::uint64_t term, std::optional<core::control_id> leader, core::time_point now, output& result);
    void save_ballot(output& result) const;
    void campaign(vote_kind kind, core::time_point now, output& result);
    bool has_won(vote_kind kind) const;
    void advance_campaign(core::time_point now, output& result);
    void lead(core::time_point now, output& result);
    void form_group(core::time_point now, output& result);
    bool may_grant(const vote_request& it, const message& from, core::time_point now) const;
    /// Follows the sender of a request of a leader, unless its term has passed. Returns whether it leads.
    bool accept_leader(const message& from, std::uint64_t term, core::time_point now, output& result);
    /// Returns what is known about the sender of an answer, or null when this member does not lead in that term.
    progress* answering_member(const message& from, std::uint64_t term, core::time_point now, output& result);
    void append(entry added, output& result);
    proposal propose_entry(entry_kind kind, std::string command, group_configuration members, core::time_point now);
    proposal change_group(group_configuration members, core::time_point now);
    void send(core::control_id to, message_body body, output& result) const;
    void send_append(core::control_id to, core::time_point now, output& result);
    void send_snapshot(core::control_id to, progress& state, core::time_point now, output& result) const;
    void broadcast(core::time_point now, output& result);
    void advance_commit(output& result);
    void commit_to(std::uint64_t index, output& result);
    void confirm_reads(output& result);
    void propose_group(group_configuration members, core::time_point now, output& result);
    void maintain_group(core::time_point now, output& result);
    bool heard_from_majority(const group_configuration& group, core::time_point now) const;
    void reset_election_timer(core::time_point now);
    void set_election_timer(core::time_point now, core::milliseconds shortest, core::milliseconds longest);
    bool is_voter(const group_configuration& group) const;
    bool may_campaign(core::time_point now) const;
    /// Asks the member to take over, when this member hands over and the other holds the whole log, all of it
    /// committed.
    void offer_leadership(core::control_id to, core::time_point now, output& result);
    bool counts(const member& it) const;
    /// Returns the highest value that a majority of the voters has reached. A voter that does not count has reached 0.
    std::uint64_t reached_by_majority(std::uint64_t progress::*reached, std::uint64_t own) const;
    std::vector<core::control_id> others() const;

    raft_options options_;
    std::mt19937_64 random_;
    /// Elections are held sooner until then.
    core::time_point restarts_until_{};
    vote ballot_;
    raft_log log_;
    std::uint64_t committed_ = 0;
    raft_role role_ = raft_role::follower;
    std::optional<core::control_id> leader_;
    core::time_point election_deadline_;
    core::time_point leader_heard_;
    bool has_heard_leader_ = false;

    vote_kind campaign_kind_ = vote_kind::probe;
    /// Who granted a vote: the incarnation and the administration address.
    std::map<core::control_id, std::pair<core::incarnation, core::endpoint>> granted_;

    core::time_point heartbeat_due_;
    std::map<core::control_id, progress> progress_;
    std::uint64_t round_ = 0;
    std::set<std::uint64_t> reads_;
    core::time_point transfer_until_{};
    /// The round in which leadership was last offered. One offer a round keeps members from splitting the votes.
    std::uint64_t offered_round_ = 0;

    core::version incoming_last_;
    std::string incoming_;
};

} // namespace ibisdyke::replication
