#include "batch_fixture.h"

#include <algorithm>
#include <random>

using namespace ibisdyke;
using namespace ibisdyke::membership;
using namespace std::chrono_literals;
using membership::testing::batch_fixture;

TEST_CASE_METHOD(batch_fixture, "a death is detected within 3 s through a follower")
{
    start();
    for (int i = 0; i < 4; ++i) {
        const auto name = "host-" + std::to_string(i);
        run(core::milliseconds(100 * i));
        agents_[name].is_alive = false;
        CHECK(time_to_gone(name) <= 2900ms);
        agents_[name].is_alive = true;
        run(15s);
        CHECK(state_of(name) == upstream_state::active);
    }
}

// The leader must detect the death of a sender in time even if the sender's follower, which would report the death, is
// lost as well.
TEST_CASE_METHOD(batch_fixture, "the death of a sender and its follower is detected within 3 s")
{
    start();
    for (std::size_t i = 1; i < 4; ++i)
        agents_["host-" + std::to_string(i)].follower = 1;
    run(3s);
    for (int offset = 0; offset < 5; ++offset) {
        run(100ms);
        agents_["host-0"].is_alive = false;
        run(core::milliseconds(offset * 100));
        followers_[0].is_running = false;
        CHECK(time_to_gone("host-0") + core::milliseconds(offset * 100) <= 2900ms);
        followers_[0].is_running = true;
        agents_["host-0"].is_alive = true;
        run(70s);
        REQUIRE(state_of("host-0") == upstream_state::active);
    }
}

// Upstreams must not be removed because their follower is lost or paused. A sender moves to another follower after at
// most one heartbeat period of 500 ms plus the answer timeout of 700 ms.
TEST_CASE_METHOD(batch_fixture, "senders of a lost follower move to another one within their lease")
{
    start();
    for (int offset = 0; offset < 10; ++offset) {
        run(core::milliseconds(100 * offset));
        followers_[0].is_running = false;
        run(1200ms);
        for (auto& [name, it] : agents_) {
            if (it.follower == 0) {
                it.follower = 2;
                send_heartbeat(it);
            }
        }
        run(5s);
        REQUIRE(count(upstream_state::active) == 10);
        followers_[0].is_running = true;
        for (auto& [name, it] : agents_) {
            if (it.follower == 2)
                it.follower = 0;
        }
        run(5s);
        REQUIRE(count(upstream_state::active) == 10);
    }
    CHECK(version_ == version_after_joins_);
}

// The batches of a paused follower reach the leader late. If they renewed leases, the upstreams of dead senders would
// get new flows for longer.
TEST_CASE_METHOD(batch_fixture, "a follower that was paused renews no leases of senders that died meanwhile")
{
    start();
    const auto stale = followers_[0].senders.make_batch(now_);
    followers_[0].is_running = false;
    agents_["host-0"].is_alive = false;
    run(1000ms);
    for (const auto* const name : {"host-1", "host-2", "host-3"}) {
        agents_[name].follower = 2;
        send_heartbeat(agents_[name]);
    }
    run(500ms);
    // The batch was in the follower's socket buffer during the pause.
    CHECK(deliver(stale).result == batch_result::stale);
    followers_[0].is_running = true;
    CHECK(time_to_gone("host-0") <= 1400ms);
    CHECK(count(upstream_state::active) == 9);
}

// The former follower of a sender that moved must neither renew the lease after the sender's death nor end the lease
// while the sender is alive.
TEST_CASE_METHOD(batch_fixture, "the lease of a sender that moves depends on its new follower alone")
{
    start();
    agents_["host-0"].follower = 1;
    run(10s);
    CHECK(state_of("host-0") == upstream_state::active);
    // The sender moves back and forth, so that both followers list it.
    for (int i = 0; i < 9; ++i) {
        agents_["host-0"].follower = static_cast<std::size_t>(i % 2);
        run(500ms);
    }
    CHECK(state_of("host-0") == upstream_state::active);
    agents_["host-0"].is_alive = false;
    CHECK(time_to_gone("host-0") <= 2900ms);
}

// When a follower is cut off together with all its senders, the expired leases must not empty the service.
TEST_CASE_METHOD(batch_fixture, "senders that are cut off with their follower fall under the mass-expiry limit")
{
    start();
    followers_[1].is_connected = false;
    run(10s);
    CHECK(count(upstream_state::gone) + count(upstream_state::suspect) == 6);
    CHECK(count(upstream_state::gone) <= 5);
    CHECK(count(upstream_state::suspect) >= 1);
    // The follower answers no_leader, so that its senders try another control process.
    CHECK(agents_["host-5"].last.result == heartbeat_result::no_leader);
    CHECK(agents_["host-0"].last.result == heartbeat_result::accepted);
    followers_[1].is_connected = true;
    run(15s);
    CHECK(count(upstream_state::active) == 10);
}

// A new leader has no lists. Until it has got them, leases must not expire and upstreams must keep their ids.
TEST_CASE_METHOD(batch_fixture, "a new leader gets full reports")
{
    start();
    change_leader();
    for (auto& it : followers_)
        it.senders.reset_leader(now_);
    run(5s);
    CHECK(count(upstream_state::active) == 10);
    CHECK(version_ == version_after_joins_);
    CHECK(leases_->processes(now_).size() == 10);
    // Followers detect a leader that restarts in place because the new process lacks the base of their batches.
    change_leader();
    run(5s);
    CHECK(count(upstream_state::active) == 10);
    CHECK(leases_->processes(now_).size() == 10);
    agents_["host-0"].is_alive = false;
    CHECK(time_to_gone("host-0") <= 2900ms);
}

// After a restart, the list of another follower still holds the former incarnation. A new leader that receives both
// lists must not treat the current incarnation as replaced.
TEST_CASE_METHOD(batch_fixture, "an incarnation that was replaced does not take its lease back")
{
    for (const bool new_list_first : {true, false}) {
        INFO("new list first: " << new_list_first);
        auto& it = add("restarts", 0);
        it.message.packet_endpoint = {1, 9000};
        run(5s);
        const auto before = it.message;
        add("restarts", 1).message.packet_endpoint = {1, 9000};
        send_heartbeat(agents_["restarts"]);
        change_leader();
        for (auto& known : followers_)
            known.senders.reset_leader(now_);
        for (int i = 0; i < 2; ++i) {
            send_batch(followers_[new_list_first ? 1 : 0]);
            send_batch(followers_[new_list_first ? 0 : 1]);
            send_batch(followers_[new_list_first ? 1 : 0]);
            send_batch(followers_[new_list_first ? 0 : 1]);
        }
        run(200ms);
        const auto processes = leases_->processes(now_);
        CHECK(std::count_if(processes.begin(), processes.end(), [&](const auto& status) {
            return status.incarnation == agents_["restarts"].message.sender;
        }) == 1);
        run(5s);
        CHECK(agents_["restarts"].last.result == heartbeat_result::accepted);
        const auto& recorded = std::find_if(membership_.upstreams.begin(), membership_.upstreams.end(),
            [](const auto& entry) { return entry.second.name == "restarts"; });
        REQUIRE(recorded != membership_.upstreams.end());
        CHECK(recorded->second.agent == agents_["restarts"].message.sender);
        CHECK(recorded->second.agent != before.sender);
    }
}

// In any schedule of moves, leader changes, lost messages and deaths, live upstreams must not be removed and dead
// upstreams must not stay.
TEST_CASE_METHOD(batch_fixture, "live upstreams stay and dead upstreams are removed in random schedules")
{
    for (unsigned seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        agents_.clear();
        membership_ = {};
        change_leader();
        for (auto& it : followers_)
            it.senders.reset_leader(now_);
        for (int i = 0; i < 30; ++i)
            add("host-" + std::to_string(i), random() % 3);
        run(4s);
        REQUIRE(count(upstream_state::active) == 30);
        random_ = &random;
        for (int step = 0; step < 40; ++step) {
            auto& it = std::next(agents_.begin(), static_cast<std::ptrdiff_t>(random() % 30))->second;
            it.follower = random() % 3;
            it.message.open_flows = random() % 100;
            if (step == 20) {
                change_leader();
                for (auto& known : followers_)
                    known.senders.reset_leader(now_);
            }
            run(core::milliseconds(100 * (random() % 10)));
            REQUIRE(count(upstream_state::active) == 30);
        }
        run(3s);
        agents_["host-7"].is_alive = false;
        CHECK(time_to_gone("host-7") <= 2900ms);
        random_ = nullptr;
    }
}
