#include "ibisdyke/replication/group_membership.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace std::chrono_literals;
using namespace replication;

namespace {

member_status create_status(std::uint64_t id, member_role role, core::milliseconds since_last_answer)
{
    member it;
    it.id = core::control_id(id);
    it.role = role;
    return {it, since_last_answer};
}

const group_limits limits;

} // namespace

// A group that keeps waiting for a replaced member cannot tolerate another loss.
TEST_CASE("a voter that does not answer is removed if enough other voters answer")
{
    std::vector<member_status> group{create_status(1, member_role::voter, 0ms),
        create_status(2, member_role::voter, 20ms), create_status(3, member_role::voter, 60s)};
    CHECK_FALSE(member_to_remove(group, limits));
    group.push_back(create_status(4, member_role::non_voter, 10ms));
    CHECK_FALSE(member_to_remove(group, limits));
    group.back().recorded.role = member_role::voter;
    CHECK(member_to_remove(group, limits) == core::control_id(3));
    group[2].since_last_answer = 1s;
    CHECK_FALSE(member_to_remove(group, limits));
}

TEST_CASE("a non-voter that does not answer is removed after a longer time")
{
    std::vector<member_status> group{
        create_status(1, member_role::voter, 0ms), create_status(2, member_role::non_voter, 5s)};
    CHECK_FALSE(member_to_remove(group, limits));
    group[1].since_last_answer = 10s;
    CHECK(member_to_remove(group, limits) == core::control_id(2));
}

// If a group that must tolerate two losses shrinks to three voters, the loss of two disks loses committed entries.
TEST_CASE("a group keeps enough voters for the losses that it tolerates")
{
    std::vector<member_status> group{create_status(1, member_role::voter, 0ms)};
    for (std::uint64_t id = 2; id <= 5; ++id)
        group.push_back(create_status(id, member_role::voter, id > 3 ? 60s : 10ms));
    CHECK(member_to_remove(group, limits_for_losses(1)));
    CHECK_FALSE(member_to_remove(group, limits_for_losses(2)));
    group.push_back(create_status(6, member_role::voter, 10ms));
    CHECK_FALSE(member_to_remove(group, limits_for_losses(2)));
    group.push_back(create_status(7, member_role::voter, 10ms));
    CHECK(member_to_remove(group, limits_for_losses(2)) == core::control_id(4));
}

// The number of members must stay bounded.
TEST_CASE("a process may join unless it is a member or the group is full")
{
    std::vector<member_status> group{create_status(1, member_role::voter, 0ms)};
    CHECK(may_join(group, create_status(2, member_role::non_voter, 0ms).recorded, limits));
    CHECK_FALSE(may_join(group, group[0].recorded, limits));
    for (std::uint64_t id = 2; id <= 9; ++id)
        group.push_back(create_status(id, member_role::voter, 0ms));
    CHECK_FALSE(may_join(group, create_status(10, member_role::non_voter, 0ms).recorded, limits));
}
