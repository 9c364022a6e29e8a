#include "ibisdyke/membership/follower_table.h"
#include "ibisdyke/membership/membership_change.h"
#include "ibisdyke/membership/sender_table.h"
#include "ibisdyke/membership/wire/codec.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace ibisdyke;
using namespace ibisdyke::membership;
using namespace std::chrono_literals;

namespace {

/// A leader, three control followers, and agents that send a heartbeat every 500 ms to one of the followers. Proposals
/// are committed at once.
class batch_fixture {
public:
    struct agent {
        heartbeat message;
        std::size_t follower = 0;
        bool is_alive = true;
        heartbeat_answer last;
    };

    struct follower {
        explicit follower(std::uint64_t id, core::time_point now)
            : senders(core::incarnation(id), {}, now)
        {
        }

        sender_table senders;
        bool is_running = true;
        /// Whether its batches and their answers arrive.
        bool is_connected = true;
        /// Whether its previous message was lost.
        bool lost_previous = false;
        /// Totals over all batches.
        std::size_t joined = 0;
        std::size_t changed = 0;
        std::size_t batches = 0;
    };

    batch_fixture()
    {
        auto configuration = std::make_shared<configuration::configuration_state>();
        configuration->services.emplace(
            core::service_id(1), configuration::service{core::service_id(1), "dispatch", "standard", {}});
        configuration_ = configuration;
        change_leader();
        for (std::uint64_t i = 0; i < 3; ++i)
            followers_.emplace_back(i + 1000, now_);
        update();
    }

    agent& add(const std::string& name, std::size_t to)
    {
        auto& it = agents_[name];
        it.message.sender_role = process_role::agent;
        it.message.sender = core::incarnation(next_incarnation_++);
        it.message.sequence = 1000 * it.message.sender.value();
        it.message.name = name;
        it.message.service = "dispatch";
        it.message.packet_endpoint = {1, static_cast<std::uint16_t>(7000 + agents_.size())};
        it.message.slots = 2;
        it.follower = to;
        return it;
    }

    /// Replaces the leader's tables by empty tables of a new leader.
    void change_leader()
    {
        leases_.emplace(lease_limits{}, now_);
        follower_table_.emplace(follower_limits{}, now_);
        update();
    }

    void update()
    {
        const auto shared = std::make_shared<const membership_state>(membership_);
        leases_->update(configuration_, shared, version_, now_);
        for (auto& it : followers_)
            it.senders.update(*configuration_, membership_, version_);
    }

    lease_batch_answer deliver(const lease_batch& it)
    {
        CHECK(wire::decode_lease_batch(wire::encode(it)) == it);
        auto answer = follower_table_->on_batch(it, *leases_, now_);
        CHECK(wire::decode_lease_batch_answer(wire::encode(answer)) == answer);
        return answer;
    }

    void send_batch(follower& it)
    {
        const auto batch = it.senders.make_batch(now_);
        ++it.batches;
        it.joined += batch.full_heartbeats.size();
        it.changed += batch.changed.size();
        if (!it.is_connected || is_lost(it))
            return;
        const auto answer = deliver(batch);
        if (!is_lost(it))
            it.senders.on_answer(batch.number, answer, now_);
    }

    /// Decides whether a message of a follower is lost: one in ten at random, but never two in a row.
    bool is_lost(follower& it) const
    {
        it.lost_previous = random_ != nullptr && !it.lost_previous && (*random_)() % 10 == 0;
        return it.lost_previous;
    }

    void send_heartbeat(agent& it)
    {
        ++it.message.sequence;
        auto& to = followers_.at(it.follower);
        if (!to.is_running)
            return;
        if (const auto answer = to.senders.on_heartbeat(it.message, now_))
            it.last = *answer;
    }

    void run(core::milliseconds duration)
    {
        for (const auto end = now_ + duration; now_ < end; now_ += 100ms) {
            int phase = 0;
            for (auto& [name, it] : agents_) {
                if (it.is_alive && (now_.time_since_epoch() / 100ms) % 5 == phase++ % 5)
                    send_heartbeat(it);
            }
            for (auto& it : followers_) {
                if (it.is_running && it.senders.is_due(now_))
                    send_batch(it);
            }
            leases_->tick(now_);
            commit();
        }
    }

    void commit()
    {
        if (const auto change = leases_->propose(now_, core::wall_time{1h})) {
            ++version_.index;
            membership_ = membership::apply(membership_, *change, version_);
            update();
        }
    }

    upstream_state state_of(const std::string& name) const
    {
        for (const auto& [id, it] : membership_.upstreams) {
            if (it.name == name)
                return it.state;
        }
        return upstream_state::starting;
    }

    /// Runs until the upstream is gone, at most 10 s, and returns the time it took.
    core::milliseconds time_to_gone(const std::string& name)
    {
        const auto begin = now_;
        while (state_of(name) != upstream_state::gone && now_ - begin < 10s)
            run(100ms);
        return std::chrono::duration_cast<core::milliseconds>(now_ - begin);
    }

    /// Starts ten agents: four send to the first follower, the others to the second.
    void start()
    {
        for (std::size_t i = 0; i < 10; ++i)
            add("host-" + std::to_string(i), i < 4 ? 0 : 1);
        run(5s);
        REQUIRE(count(upstream_state::active) == 10);
        version_after_joins_ = version_;
    }

    std::size_t count(upstream_state state) const
    {
        return static_cast<std::size_t>(std::count_if(membership_.upstreams.begin(), membership_.upstreams.end(),
            [&](const auto& it) { return it.second.state == state; }));
    }

    core::time_point now_{1h};
    core::version version_{1, 100};
    /// The version at which all agents had joined.
    core::version version_after_joins_;
    std::shared_ptr<const configuration::configuration_state> configuration_;
    membership_state membership_;
    std::optional<lease_table> leases_;
    std::optional<follower_table> follower_table_;
    std::deque<follower> followers_;
    std::map<std::string, agent> agents_;
    std::uint64_t next_incarnation_ = 1;
    std::mt19937* random_ = nullptr;
};

} // namespace

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
