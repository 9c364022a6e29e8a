#include "batch_fixture.h"

using namespace ibisdyke;
using namespace ibisdyke::membership;
using namespace std::chrono_literals;
using membership::testing::batch_fixture;

TEST_CASE_METHOD(batch_fixture, "agents join through a follower and learn their ids")
{
    start();
    for (const auto& [name, it] : agents_) {
        CHECK(it.last.result == heartbeat_result::accepted);
        REQUIRE(it.last.upstream);
        CHECK(membership_.upstreams.at(*it.last.upstream).name == name);
        CHECK(it.last.latest == version_);
    }
    CHECK(leases_->processes(now_).size() == 10);
}

// While nothing changes, the batches must not grow with the number of agents.
TEST_CASE_METHOD(batch_fixture, "unchanged senders are not in the batches, and each change is sent once")
{
    start();
    auto& first = followers_.front();
    const auto joined = first.joined;
    const auto changed = first.changed;
    const auto batches = first.batches;
    // A new version that an agent has applied is a change of its status too, and is not counted here.
    agents_apply_states_ = false;
    run(10s);
    CHECK(first.joined == joined);
    CHECK(first.changed == changed);
    CHECK(first.batches - batches == 20);
    agents_["host-0"].message.open_flows = 7;
    agents_["host-1"].message.draining = true;
    run(3s);
    CHECK(first.changed == changed + 1);
    CHECK(first.joined == joined + 1);
    CHECK(state_of("host-1") == upstream_state::draining);
    CHECK(agents_["host-0"].last.mean_open_flows > 0);
}

// A lost, late or repeated batch must not cause a change to be lost, undone or applied twice.
TEST_CASE_METHOD(batch_fixture, "lost, late and repeated batches do no harm")
{
    start();
    auto& from = followers_[0];
    agents_["host-0"].message.open_flows = 50;
    send_heartbeat(agents_["host-0"]);
    const auto lost = from.senders.make_batch(now_);
    REQUIRE(lost.changed.size() == 1);
    agents_["host-0"].message.open_flows = 60;
    send_heartbeat(agents_["host-0"]);
    const auto next = from.senders.make_batch(now_);
    REQUIRE(next.changed.size() == 1);
    CHECK(next.changed.front().open_flows == 60);
    const auto answer = deliver(next);
    CHECK(answer.result == batch_result::accepted);
    CHECK(deliver(next).result == batch_result::stale);
    CHECK(deliver(lost).result == batch_result::stale);
    // The follower did not get the answer either, so the next batch holds the change again.
    const auto again = from.senders.make_batch(now_);
    CHECK(again.changed.size() == 1);
    from.senders.on_answer(again.number, deliver(again), now_);
    from.senders.on_answer(next.number, answer, now_);
    CHECK(from.senders.make_batch(now_).changed.empty());
}

// If the lists of leader and follower differed, a batch would renew the leases of senders that are not in the
// follower's list.
TEST_CASE_METHOD(batch_fixture, "a full report follows when the lengths of the lists differ")
{
    start();
    auto& from = followers_[0];
    auto wrong = from.senders.make_batch(now_);
    ++wrong.sender_count;
    const auto answer = deliver(wrong);
    CHECK(answer.result == batch_result::unknown_base);
    from.senders.on_answer(wrong.number, answer, now_);
    CHECK(from.senders.is_due(now_));
    const auto complete = from.senders.make_batch(now_);
    CHECK(complete.base == 0);
    CHECK(complete.full_heartbeats.size() == 4);
    CHECK(deliver(complete).result == batch_result::accepted);
}

// If the leader lacks the base, changes may be missing from its list although the lengths of both lists agree.
TEST_CASE_METHOD(batch_fixture, "a batch whose base the leader lacks is refused")
{
    lease_batch batch;
    batch.follower = core::incarnation(5);
    batch.number = 6;
    batch.base = 5;
    batch.echoed_timestamp = deliver(batch).leader_timestamp;
    CHECK(deliver(batch).result == batch_result::unknown_base);
    batch.base = 0;
    CHECK(deliver(batch).result == batch_result::accepted);
}

// Usage must be sent again when its batch is lost, and must not be sent again after the leader has accepted it.
TEST_CASE_METHOD(batch_fixture, "usage is passed on until the leader has taken it")
{
    start();
    auto& from = followers_[0];
    agents_["host-0"].message.usage = "report";
    send_heartbeat(agents_["host-0"]);
    agents_["host-0"].message.usage.clear();
    send_heartbeat(agents_["host-0"]);
    const auto lost = from.senders.make_batch(now_);
    REQUIRE(lost.changed.size() == 1);
    CHECK(lost.changed.front().usage == "report");
    const auto taken = from.senders.make_batch(now_);
    REQUIRE(taken.changed.size() == 1);
    CHECK(taken.changed.front().usage == "report");
    from.senders.on_answer(taken.number, deliver(taken), now_);
    CHECK(from.senders.make_batch(now_).changed.empty());
}

// An agent whose name is taken must get the refusal, and must be accepted when the name is free.
TEST_CASE_METHOD(batch_fixture, "the leader's refusals reach the sender through its follower")
{
    start();
    auto& twin = agents_["twin"];
    twin.message = agents_["host-0"].message;
    twin.message.sender = core::incarnation(99);
    twin.message.sequence = 1'000'000;
    twin.message.packet_endpoint = {2, 7000};
    twin.follower = 1;
    run(2s);
    CHECK(twin.last.result == heartbeat_result::name_taken);
    auto& lost = add("lost", 2);
    lost.message.service = "unknown";
    run(2s);
    CHECK(lost.last.result == heartbeat_result::unknown_service);
    agents_["host-0"].is_alive = false;
    run(5s);
    CHECK(twin.last.result == heartbeat_result::accepted);
}

// Memory must not grow without bound with the senders of a follower or with restarts of followers.
TEST_CASE_METHOD(batch_fixture, "the senders of a follower and the lists of a leader are bounded")
{
    sender_table small_table(core::incarnation(1), {500ms, 600ms, 2000ms, 1000ms, 2}, now_);
    heartbeat it;
    for (std::uint64_t i = 1; i <= 3; ++i) {
        it.sender = core::incarnation(i);
        const auto answer = small_table.on_heartbeat(it, now_);
        CHECK(answer.has_value() == (i == 3));
    }
    for (std::uint64_t i = 1; i <= 100; ++i) {
        lease_batch batch;
        batch.follower = core::incarnation(i);
        batch.number = 1;
        batch.echoed_timestamp = follower_table_->on_batch(batch, *leases_, now_).leader_timestamp;
        follower_table_->on_batch(batch, *leases_, now_);
    }
    CHECK(follower_table_->size() == follower_limits{}.max_followers);
}
