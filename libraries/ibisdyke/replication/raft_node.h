#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/replication/messages.h"
#include "ibisdyke/replication/quorum.h"
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

/// Settings of one member of the control group.
struct raft_options {
    core::control_id self;
    /// The incarnation of this member's data folder.
    core::incarnation folder_incarnation;
    /// The address at which other members reach the administration API of this member.
    core::endpoint admin_endpoint;
    /// The members that form a new group while none of them has any state. Empty for a member that joins a group.
    std::vector<member> initial_members;
    core::milliseconds heartbeat{50};
    /// A follower that hears from no leader starts an election after a random time between these bounds.
    core::milliseconds min_election_timeout{150};
    core::milliseconds max_election_timeout{300};
    /// The upper bound of the random election timeout of a member with a log, within `restart_time` after its start. It
    /// is short because a live leader sends a heartbeat sooner, and because a group whose members have all restarted
    /// has no leader until a timeout ends.
    core::milliseconds max_restart_timeout{150};
    core::milliseconds restart_time{2'000};
    std::size_t max_append_bytes = std::size_t{1024} * 1024;
    std::size_t snapshot_chunk_bytes = std::size_t{1024} * 1024;
    /// The number of entries before a snapshot that stay in memory, so that a member which lags by a few entries needs
    /// no snapshot. Limited by size as well, because a change of the route plan takes up to a few hundred kilobytes.
    trailing_limits trailing{256, std::size_t{8} * 1024 * 1024};
};

enum class raft_role : std::uint8_t {
    follower,
    candidate,
    leader,
};

/// The outcome of a proposal.
enum class proposal_status : std::uint8_t {
    appended,
    /// This member is not the leader, or is transferring leadership.
    not_leader,
    /// A membership change is in progress, or the leader has not committed an entry of its own term yet.
    busy,
    /// The member to add is in the group already, the member to remove is not in it, or no majority of the voters after
    /// the change is active, as after the removal of the last voter.
    not_allowed,
};

struct proposal {
    proposal_status status = proposal_status::not_leader;
    core::version at;
    output result;
};

/// The Raft protocol decisions of one member of the control group. Has no I/O, clock or threads.
///
/// The caller carries out an output before it makes a call that depends on that output. It may collect several outputs
/// and sync their writes together.
class raft_node {
public:
    /// `seed` initializes the random election timeouts.
    raft_node(raft_options options, const stored_state& stored, std::uint64_t seed, core::time_point now);

    /// Processes a message from another member.
    output step(const message& received, core::time_point now);

    /// Sends heartbeats or starts an election when they are due. The caller calls this at next_deadline() or later.
    output tick(core::time_point now);

    core::time_point next_deadline() const;

    /// Appends a command if this member is the leader.
    proposal propose(std::string command, core::time_point now);

    /// Adds a member as a non-voter. The leader promotes it to voter once its log has caught up.
    proposal add_member(const member& added, core::time_point now);
    proposal remove_member(core::control_id id, core::time_point now);

    /// Starts a read index request: asks a majority to confirm that this member still leads. Returns the number of the
    /// read. Once the number is in output::confirmed_reads, the state up to the value of commit_index() at this call
    /// may be read. Returns nothing if this member does not lead or has not committed an entry of its own term.
    std::optional<std::uint64_t> begin_read(core::time_point now, output& result);

    /// Starts a leadership transfer to the first other voter whose log has caught up. Until `timeout` has passed, this
    /// member refuses commands, so that the others can catch up, and starts no elections. Does nothing if this member
    /// is not the leader or is the only voter.
    output transfer_leadership(core::time_point now, core::milliseconds timeout);

    /// Whether a leadership transfer by this member is in progress.
    bool is_transferring(core::time_point now) const { return now < transfer_deadline_; }

    /// Whether this member is the leader and accepts commands and membership changes.
    bool accepts_commands(core::time_point now) const { return leads(now) && !is_transferring(now); }

    /// Replaces the log up to `index` by a snapshot. `state` is the state of the state machine after that entry, which
    /// must have been applied.
    output compact(std::uint64_t index, std::string state);

    /// Whether this member is the leader and has heard from a majority within the longest election timeout.
    bool leads(core::time_point now) const;

    /// Whether an entry of the current term is committed. The commit index of a leader then covers every entry that
    /// earlier leaders have committed.
    bool has_committed_in_term() const { return log_.term_at(commit_index_) == vote_.term; }

    /// The time since the leader last heard from a member. 0 for this member, and the maximum for a process that the
    /// leader does not know as a member.
    core::milliseconds time_since_answer(core::control_id id, core::time_point now) const;

    /// Whether this member is the leader, or has heard from a leader less than `within` ago.
    bool has_recent_leader(core::milliseconds within, core::time_point now) const;

    raft_role role() const { return role_; }
    std::optional<core::control_id> leader() const { return leader_; }
    std::uint64_t term() const { return vote_.term; }
    std::uint64_t commit_index() const { return commit_index_; }
    const raft_log& log() const { return log_; }
    const group_configuration& configuration() const { return log_.configuration(); }
    const raft_options& options() const { return options_; }

    /// The voters of the newest configuration, and how many of them this member knows to have lost their data folder.
    voter_counts count_voters() const { return count_voters(configuration()); }

    /// The match index of a member: the highest entry that its log is known to share with the leader's. For operators.
    std::uint64_t match_index_of(core::control_id id) const;

private:
    /// The leader's view of another member.
    struct progress {
        /// The incarnation of the data folder that the member last answered from.
        core::incarnation folder_incarnation;
        core::endpoint admin_endpoint;
        /// The index of the next entry to send.
        std::uint64_t next_index = 1;
        std::uint64_t match_index = 0;
        /// The latest round that the member has answered, from any of its data folders.
        std::uint64_t answered_round = 0;
        std::uint64_t snapshot_offset = 0;
        core::version snapshot_last;
        /// When the member last answered, or when the leader began to track it.
        core::time_point last_contact;
        core::time_point snapshot_sent;
    };

    static progress create_progress(const member& recorded, std::uint64_t next_index, core::time_point now);
    void handle(const message& received, const vote_request& request, core::time_point now, output& result);
    void handle(const message& received, const vote_answer& answer, core::time_point now, output& result);
    void handle(const message& received, const append_request& request, core::time_point now, output& result);
    void handle(const message& received, const append_answer& answer, core::time_point now, output& result);
    void handle(const message& received, const snapshot_request& request, core::time_point now, output& result);
    void handle(const message& received, const snapshot_answer& answer, core::time_point now, output& result);
    void handle(const message& received, const timeout_now& request, core::time_point now, output& result);

    void become_follower(
        std::uint64_t term, std::optional<core::control_id> leader, core::time_point now, output& result);
    void save_ballot(output& result) const;
    /// Becomes a candidate and requests votes. A pre-vote does not change the term.
    void start_campaign(vote_kind kind, core::time_point now, output& result);
    bool has_won(vote_kind kind) const;
    /// Whether a quorum of the voters of `group` has granted its vote in the current campaign.
    bool has_votes_of(const group_configuration& group) const;
    /// Records the data folder from which a member answered in the current campaign.
    void record_answering_folder(const message& received, const vote_answer& answer);
    /// Continues after a won vote: a pre-vote is followed by the election, and an election by leadership.
    void advance_campaign(core::time_point now, output& result);
    void become_leader(core::time_point now, output& result);
    /// Becomes the leader of a new group of the initial members.
    void bootstrap_group(core::time_point now, output& result);
    /// Returns the position that the log of a candidate must reach to get this member's vote.
    core::version required_candidate_position() const;
    bool may_grant_vote(const vote_request& request, const message& received, core::time_point now) const;
    /// Becomes a follower of the member that sent a leader's request, unless the term of the request is outdated.
    /// Returns whether the sender is the leader.
    bool accept_leader(const message& received, std::uint64_t term, core::time_point now, output& result);
    /// Returns the progress of the member that sent an answer, or null if this member is not the leader of `term` or
    /// does not know the sender.
    progress* progress_of_sender(const message& received, std::uint64_t term, core::time_point now, output& result);
    void append(entry added, output& result);
    proposal propose_entry(entry_kind kind, std::string command, group_configuration members, core::time_point now);
    proposal propose_configuration(group_configuration members, core::time_point now);
    void send(core::control_id to, message_body body, output& result) const;
    void send_append(core::control_id to, core::time_point now, output& result);
    void send_snapshot(core::control_id to, progress& follower, core::time_point now, output& result) const;
    /// Starts a new round by sending an append request to each other member.
    void broadcast_append(core::time_point now, output& result);
    void advance_commit(output& result);
    void commit_to(std::uint64_t index, output& result);
    void confirm_reads(output& result);
    /// Proposes a configuration and adds the output of the proposal to `result`.
    void propose_configuration(group_configuration members, core::time_point now, output& result);
    /// Proposes the next change that the recorded members need: a new administration address, a new data folder
    /// incarnation, or the promotion of a caught-up non-voter.
    void update_membership(core::time_point now, output& result);
    /// Whether a quorum of the voters of `group` has answered within the longest election timeout.
    bool has_active_quorum(const group_configuration& group, core::time_point now) const;
    void reset_election_timer(core::time_point now);
    void set_election_timer(core::time_point now, core::milliseconds min_timeout, core::milliseconds max_timeout);
    /// Whether this member, with its current data folder, is a voter of `group`.
    bool is_voter(const group_configuration& group) const;
    bool may_campaign(core::time_point now) const;
    /// Sends timeout_now to a member if a leadership transfer is in progress, this member's whole log is committed and
    /// the other member holds all of it.
    void send_timeout_now_if_caught_up(core::control_id to, core::time_point now, output& result);
    /// Whether a member is a voter that answers from the data folder recorded in the configuration.
    bool counts_toward_quorum(const member& it) const;
    /// Whether a member is a voter that answers from another data folder than the recorded one, as the leader knows.
    bool has_lost_folder(const member& it) const;
    voter_counts count_voters(const group_configuration& group) const;
    /// Returns the highest value of `field` that a quorum of the voters has reached. `own_value` is the value of this
    /// member. A voter that does not count toward the quorum has the value 0.
    std::uint64_t quorum_value(
        const group_configuration& group, std::uint64_t progress::*field, std::uint64_t own_value) const;
    /// Returns the smallest value that quorum_value() has for one of the active configurations.
    std::uint64_t quorum_value(std::uint64_t progress::*field, std::uint64_t own_value) const;
    /// Returns the configurations whose quorums must agree. These are the newest one and, until this member knows that
    /// it is committed, the one before it if half of the voters of either may be a quorum. Majorities before and after
    /// a change of one voter overlap, but half of the voters before it may miss a majority after it.
    std::vector<const group_configuration*> active_configurations() const;
    /// Returns the other members of all active configurations. A member that is being removed gets the log until its
    /// removal is committed, because its acknowledgement may be needed.
    std::vector<member> other_members() const;

    raft_options options_;
    std::mt19937_64 random_;
    /// Until this time, a member that restarted with a log uses shorter election timeouts.
    core::time_point restart_window_end_{};
    term_and_vote vote_;
    raft_log log_;
    std::uint64_t commit_index_ = 0;
    raft_role role_ = raft_role::follower;
    std::optional<core::control_id> leader_;
    core::time_point election_deadline_;
    core::time_point last_leader_contact_;
    bool has_heard_leader_ = false;

    vote_kind campaign_kind_ = vote_kind::pre_vote;
    /// The data folder incarnation and the administration address of each member that granted its vote.
    std::map<core::control_id, std::pair<core::incarnation, core::endpoint>> granted_votes_;
    /// The number of the current campaign. Starts at a random number, so that no answer to an earlier process matches.
    std::uint64_t campaign_ = 0;
    /// The data folder from which each member has answered in the current pre-vote. An election uses the folders known
    /// when it began: if it also used what it learns meanwhile, a vote that was granted before a loss could meet an
    /// answer from after that loss, and two members could win the same term.
    std::map<core::control_id, core::incarnation> answering_folders_;

    core::time_point heartbeat_due_;
    std::map<core::control_id, progress> progress_;
    /// Counts the broadcasts of append requests. An answer names the round that it belongs to.
    std::uint64_t round_ = 0;
    /// The first round that began after the latest loss of a data folder became known. Only answers to this round and
    /// later ones count toward a quorum of half of the voters, for the reason given at answering_folders_.
    std::uint64_t first_round_after_loss_ = 0;
    /// The rounds that a majority must answer to confirm the reads in progress.
    std::set<std::uint64_t> pending_reads_;
    core::time_point transfer_deadline_{};
    /// The round in which timeout_now was last sent to a member. It is sent to at most one member in each round,
    /// because several candidates would split the votes.
    std::uint64_t timeout_now_round_ = 0;

    /// The position of the snapshot that is being received, and the bytes received so far.
    core::version incoming_snapshot_last_;
    std::string incoming_snapshot_bytes_;
};

} // namespace ibisdyke::replication
