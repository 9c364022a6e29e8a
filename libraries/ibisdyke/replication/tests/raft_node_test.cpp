#include "ibisdyke/core/error.h"
#include "ibisdyke/replication/wire/codec.h"
#include "simulated_group.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace ibisdyke::replication;
using namespace std::chrono_literals;
using testing::simulated_group;

namespace {

constexpr int steps_per_second = 100;

core::control_id wait_for_leader(simulated_group& group)
{
    for (int i = 0; i < 5 * steps_per_second && !group.leader(); ++i)
        group.fault_free_step();
    REQUIRE(group.leader());
    return *group.leader();
}

/// A group of three members without random faults.
class raft_fixture {
public:
    void run(int steps)
    {
        for (int i = 0; i < steps; ++i)
            group_.fault_free_step();
    }

    core::control_id wait_for_leader() { return ::wait_for_leader(group_); }

    core::control_id other_than(core::control_id id) const
    {
        return core::control_id(id == core::control_id(1) ? 2 : 1);
    }

    /// Returns the member of the group of three that is neither of these.
    static core::control_id third_besides(core::control_id one, core::control_id other)
    {
        return core::control_id(1 + 2 + 3 - one.value() - other.value());
    }

    static simulated_group create_group()
    {
        simulated_group result(3, 0, 42);
        result.heal();
        return result;
    }

    simulated_group group_ = create_group();
};

} // namespace

TEST_CASE_METHOD(raft_fixture, "a new group elects a leader that commits commands")
{
    const auto leader = wait_for_leader();
    run(20);
    CHECK(group_.propose(leader, "x"));
    run(20);
    CHECK(group_.converged());
}

// The first configuration of a group has none before it whose quorum could agree.
TEST_CASE("a new group of any size elects a leader that commits commands")
{
    const auto members = GENERATE(values<std::size_t>({1, 2, 3, 4, 5, 6, 7}));
    CAPTURE(members);
    simulated_group group(members, 0, 42);
    group.heal();
    const auto leader = wait_for_leader(group);
    for (int i = 0; i < 20; ++i)
        group.fault_free_step();
    CHECK(group.propose(leader, "x"));
    for (int i = 0; i < 30; ++i)
        group.fault_free_step();
    CHECK(group.converged());
}

// A member that returns from a partition must not depose a live leader by a higher term.
TEST_CASE_METHOD(raft_fixture, "a member that comes back from a partition does not disturb the leader")
{
    const auto leader = wait_for_leader();
    run(20);
    const auto term = group_.node(leader).term();
    group_.isolate(other_than(leader));
    run(5 * steps_per_second);
    group_.reconnect(other_than(leader));
    run(steps_per_second);
    CHECK(group_.leader() == leader);
    CHECK(group_.node(leader).term() == term);
}

// A leader that a partition separates from the majority must not go on accepting commands.
TEST_CASE_METHOD(raft_fixture, "a leader without contact to a majority refuses commands")
{
    const auto leader = wait_for_leader();
    run(20);
    group_.isolate(leader);
    run(40);
    CHECK_FALSE(group_.node(leader).leads(group_.now()));
    CHECK_FALSE(group_.propose(leader, "refused"));
    run(steps_per_second);
    REQUIRE(group_.leader());
    CHECK(*group_.leader() != leader);
}

// If a member that lost its folder counted toward the quorum at once, committed entries would be lost when a second
// member fails.
TEST_CASE_METHOD(raft_fixture, "a member that lost its folder counts toward the quorum only after it has caught up")
{
    const auto leader = wait_for_leader();
    run(20);
    const auto wiped = other_than(leader);
    const auto third = third_besides(leader, wiped);
    group_.crash(third);
    run(5);
    REQUIRE(group_.propose(leader, "held by two"));
    run(20);
    // Only the leader and `wiped` hold the entry. After the loss of its folder, `wiped` must not help to elect `third`.
    group_.crash(leader);
    group_.crash(wiped);
    REQUIRE(group_.wipe(wiped));
    group_.start(wiped);
    group_.start(third);
    run(5 * steps_per_second);
    CHECK_FALSE(group_.leader());
    group_.start(leader);
    run(5 * steps_per_second);
    CHECK(group_.converged());
}

// A leadership transfer fails if the request to start an election overtakes the last log entries. The leader that stops
// would then be elected again.
TEST_CASE("a leader transfers leadership to a member that holds the whole log")
{
    constexpr std::uint64_t schedules = 200;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        CAPTURE(seed);
        simulated_group group(3, 0, seed);
        group.heal();
        const auto old = wait_for_leader(group);
        REQUIRE(group.propose(old, "last"));
        group.transfer_leadership(old);
        CHECK_FALSE(group.propose(old, "refused"));
        // Waits for half of the transfer timeout, which is enough for an election with delayed messages.
        for (int i = 0; i < steps_per_second / 2 && (!group.leader() || group.leader() == old); ++i)
            group.fault_free_step();
        REQUIRE(group.leader());
        CHECK(*group.leader() != old);
        CHECK_FALSE(group.node(old).leads(group.now()));
    }
}

// After a leadership transfer that no member could take over, the group must elect a leader and accept commands again.
TEST_CASE_METHOD(raft_fixture, "a group accepts commands again after a leadership transfer has timed out")
{
    const auto leader = wait_for_leader();
    run(20);
    group_.isolate(other_than(leader));
    group_.isolate(third_besides(leader, other_than(leader)));
    group_.transfer_leadership(leader);
    run(2 * steps_per_second);
    CHECK_FALSE(group_.propose(leader, "refused"));
    group_.reconnect(other_than(leader));
    run(5 * steps_per_second);
    REQUIRE(group_.leader());
    CHECK(group_.propose(*group_.leader(), "taken"));
}

// A process that is the only member must not wait for the whole transfer timeout when it stops.
TEST_CASE("the only member does not start a leadership transfer")
{
    simulated_group group(1, 0, 42);
    group.heal();
    const auto sole = wait_for_leader(group);
    group.transfer_leadership(sole);
    CHECK_FALSE(group.node(sole).is_transferring(group.now()));
    CHECK(group.propose(sole, "taken"));
}

// A group whose majority includes members that do not answer can never commit again.
TEST_CASE_METHOD(raft_fixture, "a member is not removed when the remaining voters do not answer")
{
    const auto leader = wait_for_leader();
    run(20);
    const auto other = other_than(leader);
    const auto third = third_besides(leader, other);
    group_.crash(third);
    run(40);
    auto copy = group_.node(leader);
    CHECK(copy.remove_member(other, group_.now()).status == proposal_status::not_allowed);
    CHECK(copy.remove_member(third, group_.now()).status == proposal_status::appended);
}

// A member that loses its folder twice in one term must not be ignored for ever. This happened when the answer of the
// second folder arrived after that of the third (random schedules 105491, 106354 and 105760).
TEST_CASE_METHOD(raft_fixture, "a late answer from an earlier folder does not hide the current folder")
{
    const auto leader = wait_for_leader();
    run(20);
    auto node = group_.node(leader);
    const auto wiped = other_than(leader);
    const auto third = third_besides(leader, wiped);
    auto now = group_.now();
    const auto disk_of = [&](core::control_id id) {
        for (const auto& it : node.configuration().members) {
            if (it.id == id)
                return it.folder_incarnation;
        }
        return core::incarnation{};
    };
    // Starts a round with both other members and returns its number.
    const auto begin_round = [&] {
        output sent;
        REQUIRE(node.begin_read(now, sent));
        return std::get<append_request>(sent.messages.at(0).body).round;
    };
    const auto answer = [&](core::control_id from, core::incarnation folder_incarnation, std::uint64_t index,
                            std::uint64_t round) {
        node.step({from, leader, folder_incarnation, {}, append_answer{node.term(), index != 0, index, round}}, now);
    };
    const core::incarnation second_folder(1002);
    const core::incarnation third_folder(1003);
    const auto first_round = begin_round();
    const auto second_round = begin_round();
    answer(wiped, third_folder, 0, second_round);
    answer(wiped, second_folder, 0, first_round);
    for (int i = 0; i < 5; ++i) {
        const auto round = begin_round();
        answer(third, disk_of(third), node.log().last().index, round);
        answer(wiped, third_folder, node.log().last().index, round);
    }
    CHECK(disk_of(wiped) == third_folder);
    CHECK(node.match_index_of(wiped) == node.log().last().index);
}

// A group stays without a leader if the member with the longest log is being removed and does not campaign, because its
// commit index lies before the configuration that made it a voter (random schedule 100398).
TEST_CASE("a member that is being removed campaigns when it knows no committed configuration")
{
    const auto voter = [](std::uint64_t id) {
        return member{core::control_id(id), core::incarnation(10 + id), member_role::voter};
    };
    stored_state stored;
    stored.vote = {1, std::nullopt};
    stored.entries = {
        {{1, 1}, entry_kind::configuration, {}, group_configuration{{voter(1), voter(2), voter(3), voter(4)}}},
        {{1, 2}, entry_kind::configuration, {}, group_configuration{{voter(1), voter(3), voter(4)}}}};
    raft_options options;
    options.self = core::control_id(2);
    options.folder_incarnation = core::incarnation(12);
    raft_node node(options, stored, 1, core::time_point{});
    const auto result = node.tick(node.next_deadline());
    REQUIRE(result.messages.size() == 3);
    CHECK(std::holds_alternative<vote_request>(result.messages.front().body));
}

TEST_CASE("messages are unchanged after encoding and decoding")
{
    const group_configuration group{{{core::control_id(1), core::incarnation(9), member_role::voter,
        core::endpoint::create("10.0.0.1:1"), core::endpoint::create("10.0.0.1:2")}}};
    const entry added{{3, 4}, entry_kind::configuration, "", group};
    const std::vector<message_body> bodies{vote_request{vote_kind::transfer, 2, {1, 5}, 11},
        vote_answer{vote_kind::pre_vote, 2, true, core::incarnation(8), 11},
        append_request{2, {1, 5}, {added, {{3, 5}, entry_kind::command, "c", {}}}, 4, 6}, append_answer{2, true, 5, 6},
        snapshot_request{2, {1, 5}, group, 3, 10, "bytes", 6}, snapshot_answer{2, {1, 5}, 8, 6}, timeout_now{2}};
    for (const auto& body : bodies) {
        const message it{
            core::control_id(1), core::control_id(2), core::incarnation(7), core::endpoint::create("10.0.0.1:2"), body};
        CHECK(wire::decode_message(wire::encode(it)) == it);
    }
    CHECK_THROWS_AS(wire::decode_message(""), core::malformed_message);
}
