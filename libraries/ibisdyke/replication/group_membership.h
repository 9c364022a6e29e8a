#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/replication/messages.h"
#include "ibisdyke/replication/raft_node.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace ibisdyke::replication {

/// How often a member looks whether the group needs something of it.
constexpr core::milliseconds group_check_period{200};

/// A process that has heard of no leader for this long asks to join: longer than several elections.
constexpr core::milliseconds leaderless_join_delay{1'000};

/// The times and sizes by which a leader keeps its group.
struct group_limits {
    /// A voter that was silent for this long is removed when enough others are left. Longer than an election.
    core::milliseconds voter_timeout{1'500};
    /// The same for a member that does not vote: it takes no part in any majority, so there is no hurry.
    core::milliseconds non_voter_timeout{10'000};
    /// No voter is removed when fewer than this many would be left.
    std::size_t min_voters = 3;
    std::size_t max_members = 9;

    friend bool operator==(const group_limits&, const group_limits&) = default;
};

/// Returns the limits of a group in which `losses` data folders may be lost at the same time. As many voters as that
/// must be fewer than half: the others then still elect a leader, and each committed record is on one of their disks.
group_limits limits_for_losses(std::size_t losses);

/// A member as the leader sees it.
struct member_status {
    member recorded;
    /// How long ago the member answered last; 0 for the leader itself.
    core::milliseconds since_last_answer{0};

    friend bool operator==(const member_status&, const member_status&) = default;
};

/// Returns the members as their leader sees them.
std::vector<member_status> member_statuses(const raft_node& leader, core::time_point now);

/// Returns whether a process that asks to join is to be added.
bool may_join(const std::vector<member_status>& members, const member& joining, const group_limits& limits);

/// Returns the member to remove now, if any. A process that was removed and is alive asks to join again, so that a
/// removal in error costs no more than its own repair. Without removals, a group whose lost members were replaced would
/// need majorities of all that it ever had.
std::optional<core::control_id> member_to_remove(const std::vector<member_status>& members, const group_limits& limits);

} // namespace ibisdyke::replication
