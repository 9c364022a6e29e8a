#include "ibisdyke/replication/group_membership.h"

#include <algorithm>

namespace ibisdyke::replication {

group_limits limits_for_losses(std::size_t losses)
{
    group_limits result;
    result.min_voters = 2 * losses + 1;
    return result;
}

std::vector<member_status> member_statuses(const raft_node& leader, core::time_point now)
{
    std::vector<member_status> result;
    for (const auto& it : leader.configuration().members)
        result.push_back({it, leader.time_since_answer(it.id, now)});
    return result;
}

bool may_join(const std::vector<member_status>& members, const member& joining, const group_limits& limits)
{
    const bool is_known = std::any_of(
        members.begin(), members.end(), [&joining](const auto& it) { return it.recorded.id == joining.id; });
    return !is_known && members.size() < limits.max_members;
}

std::optional<core::control_id> member_to_remove(const std::vector<member_status>& members, const group_limits& limits)
{
    const auto is_unresponsive_voter = [&limits](const auto& it) {
        return it.recorded.role == member_role::voter && it.since_last_answer >= limits.voter_timeout;
    };
    const auto is_responsive_voter = [&limits](const auto& it) {
        return it.recorded.role == member_role::voter && it.since_last_answer < limits.voter_timeout;
    };
    const auto responsive_voters =
        static_cast<std::size_t>(std::count_if(members.begin(), members.end(), is_responsive_voter));
    if (responsive_voters >= limits.min_voters) {
        const auto it = std::find_if(members.begin(), members.end(), is_unresponsive_voter);
        if (it != members.end())
            return it->recorded.id;
    }
    const auto it = std::find_if(members.begin(), members.end(), [&limits](const auto& candidate) {
        return candidate.recorded.role == member_role::non_voter
            && candidate.since_last_answer >= limits.non_voter_timeout;
    });
    if (it != members.end())
        return it->recorded.id;
    return std::nullopt;
}

} // namespace ibisdyke::replication
