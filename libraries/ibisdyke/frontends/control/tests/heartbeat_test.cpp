#include "control_fixture.h"

#include "ibisdyke/frontends/discovery/heartbeat_sender.h"
#include "ibisdyke/membership/wire/codec.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace ibisdyke::frontends;

namespace {

class heartbeat_fixture : public control_fixture {
public:
    std::unique_ptr<heartbeat_sender> start_sender(const std::vector<core::endpoint>& controls)
    {
        auto sender = std::make_unique<heartbeat_sender>(
            controls, 0, counters_, nullptr, [this] { return message_; },
            [this](const auto& answer) {
                ++answers_;
                last_answer_ = answer;
            },
            nullptr);
        sender->start();
        return sender;
    }

    bool has_upstream_id() const { return last_answer_.upstream.has_value(); }

    membership::heartbeat message_ = [] {
        membership::heartbeat it;
        it.sender_role = membership::process_role::agent;
        it.sender = core::incarnation(7);
        it.name = "host-0";
        it.service = "dispatch";
        it.applied = {1, 99};
        it.packet_endpoint = core::endpoint::create("127.0.0.1:7000");
        it.slots = 2;
        return it;
    }();
    membership::heartbeat_answer last_answer_;
    int answers_ = 0;
};

} // namespace

TEST_CASE_METHOD(heartbeat_fixture, "an agent joins at the leader and gets its id")
{
    add_control();
    const auto sender = start_sender(addresses());
    REQUIRE(wait_for([&] { return has_upstream_id(); }));
    CHECK(last_answer_.upstream == log_.state.membership.upstreams.begin()->first);
    CHECK(last_answer_.latest == log_.state.applied);
    const auto& leases = *controls_.front()->leases;
    REQUIRE(leases.processes().size() == 1);
    CHECK(leases.processes().front().applied == core::version{1, 99});
    CHECK_FALSE(leases.is_complete());
    REQUIRE(wait_for([&] { return leases.is_complete(); }));
    CHECK(log_.state.membership.upstreams.size() == 1);
}

TEST_CASE_METHOD(heartbeat_fixture, "a follower reports its senders to the leader in batches")
{
    auto& leader = add_control();
    auto& follower = add_control();
    std::vector<std::unique_ptr<heartbeat_sender>> senders;
    senders.push_back(start_sender({follower.address()}));
    REQUIRE(wait_for([&] { return has_upstream_id(); }));
    CHECK(follower.count("lease_batches_sent") >= 2);
    CHECK(follower.leases->processes().empty());
    REQUIRE(leader.leases->processes().size() == 1);
    CHECK(leader.leases->processes().front().applied == core::version{1, 99});
    // The load on the leader must not grow with the number of senders at its followers.
    CHECK(leader.count("heartbeats_received") == 0);
    for (int i = 0; i < 9; ++i)
        senders.push_back(start_sender({follower.address()}));
    const auto heartbeats = follower.count("heartbeats_received");
    const auto batches = leader.count("lease_batches_received");
    run_for(3000);
    CHECK(follower.count("heartbeats_received") - heartbeats >= 50);
    CHECK(leader.count("lease_batches_received") - batches <= 9);
    CHECK(leader.leases->processes().size() == 1);
}

// An upstream must not be removed because its agent sends its heartbeats to a follower that is killed or paused.
TEST_CASE_METHOD(heartbeat_fixture, "senders keep their leases when their follower is lost")
{
    auto& leader = add_control();
    auto& killed = add_control();
    auto& paused = add_control();
    const auto sender = start_sender({killed.address(), paused.address(), leader.address()});
    REQUIRE(wait_for([&] { return has_upstream_id(); }));
    const auto id = last_answer_.upstream;
    run_for(3000);
    const auto joined = log_.state.applied;
    killed.kill();
    run_for(2500);
    paused.pause();
    REQUIRE(wait_for([&] { return sender->control() == leader.address(); }));
    run_for(2500);
    CHECK(log_.state.applied == joined);
    CHECK(last_answer_.upstream == id);
    CHECK(leader.leases->processes().size() == 1);
}

// After a change of leader, the new leader must get the leases of its followers' senders, and the former leader must
// drop its own.
TEST_CASE_METHOD(heartbeat_fixture, "a new leader gets the senders of its followers")
{
    auto& former = add_control();
    auto& next = add_control();
    auto& follower = add_control();
    const auto sender = start_sender({follower.address()});
    REQUIRE(wait_for([&] { return has_upstream_id(); }));
    former.group.is_leader_ = false;
    next.group.is_leader_ = true;
    for (auto* const it : {&former, &next, &follower})
        it->group.leader_ = next.address();
    CHECK(wait_for([&] { return next.leases->processes().size() == 1; }, 2000));
    CHECK(former.leases->processes().empty());
    REQUIRE(wait_for([&] { return next.leases->is_complete(); }));
    CHECK(log_.state.membership.upstreams.size() == 1);
    CHECK(last_answer_.result == membership::heartbeat_result::accepted);
}

// A follower that had no senders to report for a while must not assume that it has lost the leader.
TEST_CASE_METHOD(heartbeat_fixture, "a follower that had no senders for a while accepts the first one")
{
    add_control();
    auto& follower = add_control();
    run_for(2500);
    const auto sender = start_sender({follower.address()});
    REQUIRE(wait_for([&] { return answers_ > 0; }));
    CHECK(last_answer_.result == membership::heartbeat_result::accepted);
}

// The malformed usage report of one sender must not make the leases of all senders of its follower expire.
TEST_CASE_METHOD(heartbeat_fixture, "a batch with a malformed usage report still renews the leases")
{
    auto& leader = add_control();
    auto& follower = add_control();
    message_.usage = "malformed";
    const auto sender = start_sender({follower.address()});
    REQUIRE(wait_for([&] { return has_upstream_id(); }));
    CHECK(leader.count("usage_reports_malformed") > 0);
    CHECK(last_answer_.result == membership::heartbeat_result::accepted);
    CHECK(leader.count("lease_batches_malformed") == 0);
}

// Usage that agents report to a follower must not be lost.
TEST_CASE_METHOD(heartbeat_fixture, "usage reported to a follower reaches the log")
{
    add_control();
    auto& follower = add_control();
    message_.usage = "12";
    const auto sender = start_sender({follower.address()});
    REQUIRE(wait_for([&] { return !log_.usage.empty(); }));
    CHECK(log_.usage.front().reports.front().usage.begin()->second.flows == 12);
}

// An agent's lease must not expire while its control process is paused or unreachable.
TEST_CASE_METHOD(heartbeat_fixture, "a sender switches from a control process that is paused or has a closed port")
{
    add_control();
    auto& paused = add_control();
    paused.pause();
    const auto closed = core::endpoint::create("127.0.0.1:1");
    // Each sender begins at a random position of the list.
    std::vector<std::unique_ptr<heartbeat_sender>> senders;
    senders.reserve(6);
    for (int i = 0; i < 6; ++i)
        senders.push_back(start_sender({paused.address(), closed, controls_.front()->address()}));
    const auto leader = controls_.front()->address();
    REQUIRE(wait_for(
        [&] {
            return std::all_of(senders.begin(), senders.end(), [&](const auto& it) { return it->control() == leader; });
        },
        1800));
    CHECK(wait_for([&] { return has_upstream_id(); }));
}

// The lease of a live agent must not expire when its first control process hangs and its second one cannot reach the
// leader. Up to 13 flows broke with seed 14 of the random schedules.
TEST_CASE_METHOD(heartbeat_fixture, "a sender reaches the leader within its lease when two control processes fail")
{
    auto& leader = add_control();
    auto& paused = add_control();
    paused.pause();
    auto& follower = add_control();
    follower.group.leader_ = paused.address();
    std::vector<std::unique_ptr<heartbeat_sender>> senders;
    senders.reserve(12);
    for (int i = 0; i < 12; ++i)
        senders.push_back(start_sender({paused.address(), follower.address(), leader.address()}));
    // The lease of 2 s minus the heartbeat period of 500 ms.
    CHECK(wait_for(
        [&] {
            return std::all_of(
                senders.begin(), senders.end(), [&](const auto& it) { return it->control() == leader.address(); });
        },
        1500));
}

// While all control processes are down, connection attempts must not form a busy loop.
TEST_CASE_METHOD(heartbeat_fixture, "with no control process left a sender tries each one once per period")
{
    const auto sender = start_sender({core::endpoint::create("127.0.0.1:1"), core::endpoint::create("127.0.0.1:2")});
    run_for(1600);
    CHECK(answers_ == 0);
    CHECK(counters_.find("heartbeats_sent").value() <= 8);
    CHECK(counters_.find("heartbeats_sent").value() >= 6);
}

// A sender must leave a control process on the minority side of a partition.
TEST_CASE_METHOD(heartbeat_fixture, "a sender switches from a control process that knows no leader")
{
    add_control();
    auto& minority = add_control();
    minority.partition();
    std::vector<std::unique_ptr<heartbeat_sender>> senders;
    senders.reserve(4);
    for (int i = 0; i < 4; ++i)
        senders.push_back(start_sender(addresses()));
    const auto leader = controls_.front()->address();
    CHECK(wait_for([&] {
        return std::all_of(senders.begin(), senders.end(), [&](const auto& it) { return it->control() == leader; });
    }));
}

// While there is no leader, each control process answers at once that it knows none. Senders that ask all of them in
// each period would take the processor time that the election needs.
TEST_CASE_METHOD(heartbeat_fixture, "a sender asks at most two control processes in a period while there is no leader")
{
    for (int i = 0; i < 5; ++i) {
        auto& it = add_control();
        it.group.is_leader_ = false;
        it.group.leader_.reset();
    }
    const auto sender = start_sender(addresses());
    constexpr int periods = 4;
    run_for(static_cast<int>(periods * heartbeat_sender::period.count()));
    CHECK(answers_ >= periods);
    CHECK(answers_ <= 2 * (periods + 1));
}

// A follower must not accept senders that no leader has accepted. Two followers that take each other for the leader
// must not forward a batch, or the heartbeat of a follower of an earlier version, back and forth.
TEST_CASE_METHOD(heartbeat_fixture, "a follower refuses the batches and heartbeats that another follower forwards")
{
    auto& first = add_control();
    auto& second = add_control();
    first.group.is_leader_ = false;
    first.group.leader_ = second.address();
    second.group.leader_ = first.address();
    const auto sender = start_sender({first.address()});
    REQUIRE(wait_for([&] { return answers_ > 0; }));
    CHECK(last_answer_.result == membership::heartbeat_result::no_leader);
    CHECK(second.count("lease_batches_received") > 0);
    CHECK(second.leases->report()["senders"].toInt() == 0);
    transport::http2_client client(second.address(), 0, {}, nullptr, nullptr);
    transport::rpc_client rpc(client);
    std::optional<transport::rpc_result> result;
    rpc.call("/membership/forwarded-heartbeat", membership::wire::encode(message_), core::milliseconds(1000),
        [&](const auto& it) { result = it; });
    REQUIRE(wait_for([&] { return result.has_value(); }));
    CHECK(membership::wire::decode_heartbeat_answer(result->body).result == membership::heartbeat_result::no_leader);
    CHECK(second.leases->report()["senders"].toInt() == 0);
}

// A membership change must not be lost when the outcome of its proposal is unknown, and must not be proposed twice
// while the outcome is outstanding.
TEST_CASE_METHOD(heartbeat_fixture, "a membership change with an unknown outcome is proposed again")
{
    auto& leader = add_control();
    leader.group.next_status_ = submit_status::unknown;
    // Several times the period in which the lease manager looks for changes.
    leader.group.outcome_delay_ = core::milliseconds(500);
    const auto sender = start_sender(addresses());
    REQUIRE(wait_for([&] { return leader.count("membership_changes_failed") >= 2; }));
    CHECK(leader.group.most_outstanding_ == 1);
    CHECK(log_.state.membership.upstreams.empty());
    leader.group.next_status_ = submit_status::committed;
    CHECK(wait_for([&] { return has_upstream_id(); }));
    CHECK(log_.state.membership.upstreams.size() == 1);
}

// Usage must not be lost with a failed proposal, and recorded usage must not be submitted again.
TEST_CASE_METHOD(heartbeat_fixture, "usage is submitted at most every 2 s and again after a failure")
{
    auto& leader = add_control();
    message_.usage = "10";
    leader.group.next_status_ = submit_status::unknown;
    const auto sender = start_sender(addresses());
    REQUIRE(wait_for([&] { return answers_ > 0; }));
    message_.usage = "30";
    REQUIRE(wait_for([&] { return leader.group.submitted_ > 0 && answers_ > 3; }));
    message_.usage = "20";
    REQUIRE(wait_for([&] { return answers_ > 5; }));
    message_.usage.clear();
    leader.group.next_status_ = submit_status::committed;
    REQUIRE(wait_for([&] { return !log_.usage.empty(); }));
    CHECK(log_.usage.front().reports.front().usage.begin()->second.flows == 30);
    const auto reports = log_.usage.size();
    run_for(2500);
    CHECK(log_.usage.size() == reports);
    // The collector's time is read before the submission, which a busy machine may delay.
    constexpr core::milliseconds shortest_interval{2000 - 200};
    const auto& times = leader.group.usage_submitted_at_;
    REQUIRE(times.size() >= 2);
    for (std::size_t i = 1; i < times.size(); ++i)
        CHECK(times[i] - times[i - 1] >= shortest_interval);
}

TEST_CASE_METHOD(heartbeat_fixture, "a malformed heartbeat is refused")
{
    auto& leader = add_control();
    transport::http2_client client(leader.address(), 0, {}, nullptr, nullptr);
    transport::rpc_client rpc(client);
    std::optional<transport::rpc_result> result;
    rpc.call("/membership/heartbeat", "\xff\xff", core::milliseconds(1000), [&](const auto& it) { result = it; });
    REQUIRE(wait_for([&] { return result.has_value(); }));
    CHECK(result->status == transport::rpc_status::not_run);
    CHECK(leader.count("heartbeats_malformed") == 1);
}
