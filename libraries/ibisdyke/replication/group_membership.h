#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/replication/messages.h"
#include "ibisdyke/replication/raft_node.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace ibisdyke::replication {

/// How often a member checks whether it has to request to join the group or, as the leader, to remove a member.
constexpr core::milliseconds group_check_period{200};

/// A process that has heard from no leader for this long requests to join. Longer than several elections.
constexpr core::milliseconds leaderless_join_delay{1'000};

/// The limits by which a leader adds and removes members.
struct group_limits {
    /// A voter that has not answered for this long is removed if enough other voters answer. Longer than an election.
    core::milliseconds voter_timeout{1'500};
    /// The timeout for a non-voter. It may be longer, because a non-voter does not count toward a majority.
    core::milliseconds non_voter_timeout{10'000};
    /// A voter is removed only if at least this many other voters answer.
    std::size_t min_voters = 3;
    std::size_t max_members = 9;

    friend bool operator==(const group_limits&, const group_limits&) = default;
};

/// Returns the limits of a group that tolerates the simultaneous loss of `losses` data folders. The lost voters must be
/// fewer than half of all voters. The others can then elect a leader, and each committed entry is on one of their
/// disks.
group_limits limits_for_losses(std::size_t losses);

/// The leader's view of a member.
struct member_status {
    member recorded;
    /// The time since the member's last answer, or 0 for the leader itself.
    core::milliseconds since_last_answer{0};

    friend bool operator==(const member_status&, const member_status&) = default;
};

/// Returns the leader's view of all members.
std::vector<member_status> member_statuses(const raft_node& leader, core::time_point now);

/// Returns whether a process that requests to join may be added.
bool may_join(const std::vector<member_status>& members, const member& joining, const group_limits& limits);

/// Returns the member to remove now, if any. If a live member is removed by mistake, its process requests to join
/// again. Lost members must be removed: otherwise a group whose members are replaced would eventually need a majority
/// of all members that it has ever had.
std::optional<core::control_id> member_to_remove(const std::vector<member_status>& members, const group_limits& limits);

} // namespace ibisdyke::replication
