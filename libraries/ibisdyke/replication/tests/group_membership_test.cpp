#include "ibisdyke/replication/group_membership.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace std::chrono_literals;
using namespace replication;

namespace {

member_status view_of(std::uint64_t id, member_role role, core::milliseconds silence)
{
    member it;
    it.id = core::control_id(id);
    it.role = role;
    return {it, silence};
}

const group_limits limits;

} // namespace

// Guards against a group that cannot bear another loss because it waits for a member that was replaced.
TEST_CASE("a silent voter is removed once enough others are left")
{
    std::vector<member_status> group{
        view_of(1, member_role::voter, 0ms), view_of(2, member_role::voter, 20ms), view_of(3, member_role::voter, 60s)};
    CHECK_FALSE(member_to_remove(group, limits));
    group.push_back(view_of(4, member_role::non_voter, 10ms));
    CHECK_FALSE(member_to_remove(group, limits));
    group.back().recorded.role = member_role::voter;
    CHECK(member_to_remove(group, limits) == core::control_id(3));
    group[2].since_last_answer = 1s;
    CHECK_FALSE(member_to_remove(group, limits));
}

TEST_CASE("a silent member without a vote is removed after a longer time")
{
    std::vector<member_status> group{view_of(1, member_role::voter, 0ms), view_of(2, member_role::non_voter, 5s)};
    CHECK_FALSE(member_to_remove(group, limits));
    group[1].since_last_answer = 10s;
    CHECK(member_to_remove(group, limits) == core::control_id(2));
}

// Guards against committed records that are lost with two disks because the group had shrunk to three.
TEST_CASE("a group keeps enough voters for the losses that it is to bear")
{
    std::vector<member_status> group{view_of(1, member_role::voter, 0ms)};
    for (std::uint64_t id = 2; id <= 5; ++id)
        group.push_back(view_of(id, member_role::voter, id > 3 ? 60s : 10ms));
    CHECK(member_to_remove(group, limits_for_losses(1)));
    CHECK_FALSE(member_to_remove(group, limits_for_losses(2)));
    group.push_back(view_of(6, member_role::voter, 10ms));
    CHECK_FALSE(member_to_remove(group, limits_for_losses(2)));
    group.push_back(view_of(7, member_role::voter, 10ms));
    CHECK(member_to_remove(group, limits_for_losses(2)) == core::control_id(4));
}

// Guards against a group that grows without bound.
TEST_CASE("a process may join unless it is a member or the group is full")
{
    std::vector<member_status> group{view_of(1, member_role::voter, 0ms)};
    CHECK(may_join(group, view_of(2, member_role::non_voter, 0ms).recorded, limits));
    CHECK_FALSE(may_join(group, group[0].recorded, limits));
    for (std::uint64_t id = 2; id <= 9; ++id)
        group.push_back(view_of(id, member_role::voter, 0ms));
    CHECK_FALSE(may_join(group, view_of(10, member_role::non_voter, 0ms).recorded, limits));
}
