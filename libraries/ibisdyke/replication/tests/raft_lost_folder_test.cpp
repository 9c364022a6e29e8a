#include "ibisdyke/replication/raft_node.h"

#include <catch2/catch.hpp>

#include <variant>

using namespace ibisdyke;
using namespace ibisdyke::replication;
using namespace std::chrono_literals;

namespace {

const core::control_id self(1);

core::incarnation recorded_folder(core::control_id id)
{
    return core::incarnation(10 + id.value());
}

/// The folder of a member that has lost the recorded one.
const core::incarnation new_folder{99};

member create_voter(std::uint64_t id)
{
    member result;
    result.id = core::control_id(id);
    result.folder_incarnation = recorded_folder(result.id);
    result.role = member_role::voter;
    return result;
}

raft_node create_node(core::time_point now)
{
    stored_state stored;
    stored.vote = {1, std::nullopt};
    stored.entries = {{{1, 1}, entry_kind::configuration, {},
        group_configuration{{create_voter(1), create_voter(2), create_voter(3), create_voter(4)}}}};
    stored.commit_index = 1;
    raft_options options;
    options.self = self;
    options.folder_incarnation = recorded_folder(self);
    return {options, stored, 1, now};
}

/// One of four voters. The test answers for the others.
class lost_folder_fixture {
public:
    output step(std::uint64_t from, core::incarnation folder, message_body body)
    {
        return node_.step({core::control_id(from), self, folder, {}, std::move(body)}, now_);
    }

    output step(std::uint64_t from, message_body body)
    {
        return step(from, recorded_folder(core::control_id(from)), std::move(body));
    }

    /// Starts a pre-vote and returns its request.
    vote_request begin_campaign()
    {
        now_ = node_.next_deadline();
        return request_in(node_.tick(now_));
    }

    static vote_request request_in(const output& result)
    {
        REQUIRE_FALSE(result.messages.empty());
        REQUIRE(std::holds_alternative<vote_request>(result.messages.front().body));
        return std::get<vote_request>(result.messages.front().body);
    }

    static vote_answer grant(const vote_request& request)
    {
        return {request.kind, request.term, true, recorded_folder(self), request.campaign};
    }

    void become_leader()
    {
        const auto pre_vote = begin_campaign();
        step(2, grant(pre_vote));
        const auto election = request_in(step(3, grant(pre_vote)));
        step(2, grant(election));
        step(3, grant(election));
        REQUIRE(node_.role() == raft_role::leader);
    }

    /// Starts a round with all other members and returns its number.
    std::uint64_t begin_round()
    {
        output sent;
        REQUIRE(node_.begin_read(now_, sent));
        return std::get<append_request>(sent.messages.front().body).round;
    }

    core::time_point now_{1s};
    raft_node node_ = create_node(now_);
};

} // namespace

TEST_CASE_METHOD(lost_folder_fixture, "half of the voters elect a leader once a lost folder is known")
{
    const auto pre_vote = begin_campaign();
    CHECK(step(2, grant(pre_vote)).messages.empty());
    const auto election = request_in(step(4, new_folder, grant(pre_vote)));
    REQUIRE(election.kind == vote_kind::election);
    step(2, grant(election));
    CHECK(node_.role() == raft_role::leader);
    CHECK(node_.count_voters() == voter_counts{4, 1});
}

// A late answer of an earlier folder must not make the current folder count as lost.
TEST_CASE_METHOD(lost_folder_fixture, "an answer to another campaign shows no lost folder")
{
    const auto earlier = begin_campaign();
    const auto pre_vote = begin_campaign();
    REQUIRE(earlier.campaign != pre_vote.campaign);
    step(2, grant(pre_vote));
    CHECK(step(4, new_folder, grant(earlier)).messages.empty());
    CHECK(node_.role() == raft_role::candidate);
}

// Member 4 may have voted for another candidate before it lost its folder, and member 2 may have lost its folder after
// its vote. The other half of the voters could then elect that candidate in the same term.
TEST_CASE_METHOD(lost_folder_fixture, "a loss that becomes known during an election does not decide this election")
{
    const auto pre_vote = begin_campaign();
    step(2, grant(pre_vote));
    const auto election = request_in(step(3, grant(pre_vote)));
    step(2, grant(election));
    step(4, new_folder, grant(election));
    CHECK(node_.role() == raft_role::candidate);
    step(3, grant(election));
    CHECK(node_.role() == raft_role::leader);
}

// Member 2 may have lost its folder after it acknowledged the entry and before the leader learned of the loss of
// member 4. The entry would then be on the leader's disk alone.
TEST_CASE_METHOD(
    lost_folder_fixture, "an acknowledgement from before a known loss does not commit with half of the voters")
{
    become_leader();
    step(2, append_answer{2, true, 2, 1});
    step(3, append_answer{2, true, 2, 1});
    REQUIRE(node_.commit_index() == 2);
    node_.propose("command", now_);
    const auto second = begin_round();
    step(2, append_answer{2, true, 3, second});
    CHECK(node_.commit_index() == 2);
    step(4, new_folder, append_answer{2, false, 0, second});
    CHECK(node_.commit_index() == 2);
    const auto third = begin_round();
    step(2, append_answer{2, true, node_.log().last().index, third});
    CHECK(node_.commit_index() == node_.log().last().index);
}

// A candidate that does not know that the removal of member 1 is committed needs its vote. Member 1 had a later entry,
// did not campaign itself and refused, and the group stayed without a leader (random schedules 576 and 109837).
TEST_CASE("a member that has left votes for a candidate that has its removal")
{
    const group_configuration before{{create_voter(1), create_voter(2), create_voter(3), create_voter(4)}};
    const group_configuration after{{create_voter(2), create_voter(3), create_voter(4)}};
    stored_state stored;
    stored.vote = {1, std::nullopt};
    stored.entries = {{{1, 1}, entry_kind::configuration, {}, before}, {{1, 2}, entry_kind::configuration, {}, after},
        {{1, 3}, entry_kind::command, "uncommitted", {}}};
    raft_options options;
    options.self = self;
    options.folder_incarnation = recorded_folder(self);
    const auto is_granted = [&](std::uint64_t commit_index, const core::version& last) {
        stored.commit_index = commit_index;
        raft_node node(options, stored, 1, core::time_point{1s});
        const vote_request request{vote_kind::election, 2, last, 1};
        const auto result = node.step(
            {core::control_id(2), self, recorded_folder(core::control_id(2)), {}, request}, core::time_point{2s});
        return std::get<vote_answer>(result.messages.front().body).granted;
    };
    CHECK(is_granted(2, {1, 2}));
    CHECK_FALSE(is_granted(2, {1, 1}));
    // Until the removal is committed, this member's log counts in full.
    CHECK_FALSE(is_granted(1, {1, 2}));
    CHECK(is_granted(1, {1, 3}));
}
