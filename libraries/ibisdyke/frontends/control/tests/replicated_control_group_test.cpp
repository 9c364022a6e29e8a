#include "ibisdyke/core/error.h"
#include "ibisdyke/frontends/control/replicated_control_group.h"
#include "ibisdyke/observability/counter_registry.h"
#include "ibisdyke/testing/event_loop.h"
#include "ibisdyke/testing/loopback_range.h"
#include "ibisdyke/transport/http2_server.h"

#include <QCoreApplication>

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace ibisdyke;
using namespace ibisdyke::replication;
using frontends::submit_status;

namespace {

/// Stores everything in memory. Tests can make its writes fail.
class memory_storage final : public log_storage {
public:
    explicit memory_storage(std::uint64_t incarnation)
        : incarnation_(incarnation)
    {
    }

    core::incarnation incarnation() const override { return incarnation_; }
    stored_state load() override { return state_; }

    void persist(const write_batch& batch) override
    {
        if (fails)
            throw core::system_failure("sync failed");
        if (is_full)
            throw core::storage_full("disk full");
        if (batch.vote)
            state_.vote = *batch.vote;
        if (batch.base) {
            state_.base = batch.base;
            state_.entries.clear();
        }
        for (const auto& it : batch.entries) {
            std::erase_if(state_.entries, [&](const auto& old) { return old.at.index >= it.at.index; });
            state_.entries.push_back(it);
        }
    }

    bool fails = false;
    bool is_full = false;

private:
    core::incarnation incarnation_;
    stored_state state_;
};

frontends::control_command put_profile(const std::string& name)
{
    configuration::profile document;
    document.name = name;
    return configuration::command{core::command_id(name), "test", {}, {configuration::put_profile{document, 0}}};
}

/// Three members of a control group in one event loop, connected over loopback.
class group_fixture {
public:
    struct running_member {
        std::unique_ptr<memory_storage> storage;
        transport::rpc_router router;
        std::unique_ptr<frontends::replicated_control_group> group;
        std::unique_ptr<transport::http2_server> server;
        bool failed = false;
    };

    explicit group_fixture(std::size_t snapshot_bytes = frontends::replicated_control_group_options{}.snapshot_bytes)
        : snapshot_bytes_(snapshot_bytes)
    {
        for (int i = 0; i < 3; ++i) {
            constexpr std::uint16_t peer_port = 7003;
            member it;
            it.id = core::control_id(static_cast<std::uint64_t>(i) + 1);
            it.peer_endpoint = addresses_.endpoint(static_cast<std::uint32_t>(i) + 1, peer_port);
            initial_.push_back(it);
        }
        for (auto& it : members_)
            it = std::make_unique<running_member>();
        for (std::size_t i = 0; i < members_.size(); ++i)
            start(i);
    }

    void start(std::size_t i)
    {
        auto& it = *members_.at(i);
        it.storage = std::make_unique<memory_storage>(i + 100);
        frontends::replicated_control_group_options options;
        options.raft.self = initial_.at(i).id;
        options.raft.initial_members = initial_;
        options.snapshot_bytes = snapshot_bytes_;
        it.group = std::make_unique<frontends::replicated_control_group>(
            options, *it.storage, it.router, counters_, nullptr, [&it](const std::string&) { it.failed = true; },
            nullptr);
        it.server.reset(transport::http2_server::create(
            initial_.at(i).peer_endpoint, transport::http2_limits{}, it.router, nullptr, nullptr));
    }

    template <typename Condition>
    bool wait_for(Condition condition)
    {
        return testing::wait_for(condition, std::chrono::seconds(5));
    }

    running_member* find_leader()
    {
        for (auto& it : members_) {
            if (it->group->is_leader())
                return it.get();
        }
        return nullptr;
    }

    std::optional<frontends::submit_result> submit(running_member& to, const std::string& profile_name)
    {
        std::optional<frontends::submit_result> result;
        to.group->submit(put_profile(profile_name), [&](const auto& done) { result = done; });
        wait_for([&] { return result.has_value(); });
        return result;
    }

    int argc_ = 0;
    QCoreApplication application_{argc_, nullptr};
    testing::loopback_range addresses_;
    std::size_t snapshot_bytes_;
    observability::counter_registry counters_;
    std::vector<member> initial_;
    std::array<std::unique_ptr<running_member>, 3> members_;
};

/// Takes a snapshot after 10,000 bytes.
class small_log_fixture : public group_fixture {
public:
    small_log_fixture()
        : group_fixture(10'000)
    {
    }
};

accounting::usage_batch create_usage_batch(std::uint64_t flows)
{
    accounting::usage_batch result{470'000, {}};
    for (std::uint64_t i = 0; i < 200; ++i)
        result.reports.push_back({core::incarnation(i), {{{core::neighbour("n"), "s", 470'000}, {flows, 0, 0, 0, 0}}}});
    return result;
}

} // namespace

TEST_CASE_METHOD(group_fixture, "a committed command reaches the state of every member")
{
    REQUIRE(wait_for([&] { return find_leader() != nullptr; }));
    const auto result = submit(*find_leader(), "gold");
    REQUIRE(result);
    CHECK(result->status == submit_status::committed);
    CHECK(result->outcome->kind == configuration::outcome_kind::accepted);
    for (const auto& it : members_)
        CHECK(wait_for([&] { return it->group->state()->configuration.profiles.contains("gold"); }));
}

TEST_CASE_METHOD(group_fixture, "a follower refuses commands and names the leader")
{
    REQUIRE(wait_for([&] { return find_leader() != nullptr; }));
    auto* const leader = find_leader();
    for (auto& it : members_) {
        if (it.get() == leader)
            continue;
        CHECK(submit(*it, "gold")->status == submit_status::not_leader);
        CHECK(wait_for([&] { return it->group->leader() == leader->group->leader(); }));
    }
}

// A member must not acknowledge entries after its sync has failed.
TEST_CASE_METHOD(group_fixture, "a leader whose sync fails commits nothing and another member takes over")
{
    REQUIRE(wait_for([&] { return find_leader() != nullptr; }));
    auto* const broken = find_leader();
    broken->storage->fails = true;
    const auto lost = submit(*broken, "lost");
    REQUIRE(lost);
    CHECK(lost->status == submit_status::unknown);
    CHECK(broken->failed);
    CHECK_FALSE(broken->group->is_leader());
    REQUIRE(wait_for([&] { return find_leader() != nullptr && find_leader() != broken; }));
    CHECK(submit(*find_leader(), "kept")->status == submit_status::committed);
    for (const auto& it : members_) {
        if (it.get() != broken)
            CHECK_FALSE(it->group->state()->configuration.profiles.contains("lost"));
    }
}

// While its disk is full, a process must neither exit nor continue to answer.
TEST_CASE_METHOD(group_fixture, "a leader whose disk is full stops answering, and follows once the disk has space")
{
    REQUIRE(wait_for([&] { return find_leader() != nullptr; }));
    auto* const blocked = find_leader();
    blocked->storage->is_full = true;
    const auto lost = submit(*blocked, "lost");
    REQUIRE(lost);
    CHECK(lost->status == submit_status::unknown);
    CHECK_FALSE(blocked->failed);
    CHECK_FALSE(blocked->group->is_leader());
    CHECK_FALSE(blocked->group->leader());
    CHECK(submit(*blocked, "refused")->status == submit_status::not_leader);
    std::optional<replication::proposal_status> removed;
    blocked->group->remove_member(initial_.back().id, [&](auto status) { removed = status; });
    CHECK(removed == replication::proposal_status::not_leader);
    REQUIRE(wait_for([&] { return find_leader() != nullptr && find_leader() != blocked; }));
    CHECK(submit(*find_leader(), "kept")->status == submit_status::committed);
    CHECK_FALSE(blocked->group->leader());
    blocked->storage->is_full = false;
    CHECK(wait_for([&] { return blocked->group->state()->configuration.profiles.contains("kept"); }));
    CHECK(wait_for([&] { return blocked->group->leader() == find_leader()->group->leader(); }));
    CHECK(blocked->group->members().size() == members_.size());
}

// Operators of a similar system have seen changes refused long after the last of several full disks had space again.
TEST_CASE_METHOD(
    group_fixture, "after disks were full in turn, every member takes part and no acknowledged change is lost")
{
    REQUIRE(wait_for([&] { return find_leader() != nullptr; }));
    std::vector<std::string> acknowledged;
    int sent = 0;
    const auto submit_changes = [&](int n) {
        for (int i = 0; i < n; ++i) {
            if (!wait_for([&] { return find_leader() != nullptr; }))
                return;
            const auto name = "change-" + std::to_string(sent++);
            const auto result = submit(*find_leader(), name);
            if (result && result->status == submit_status::committed)
                acknowledged.push_back(name);
        }
    };
    for (const auto& full : members_) {
        full->storage->is_full = true;
        submit_changes(4);
        full->storage->is_full = false;
        submit_changes(2);
    }
    CHECK(acknowledged.size() >= 12);
    REQUIRE(wait_for([&] { return find_leader() != nullptr; }));
    CHECK(submit(*find_leader(), "last")->status == submit_status::committed);
    acknowledged.emplace_back("last");
    for (const auto& it : members_) {
        CHECK_FALSE(it->failed);
        CHECK(wait_for([&] {
            const auto& profiles = it->group->state()->configuration.profiles;
            return std::all_of(acknowledged.begin(), acknowledged.end(),
                [&profiles](const auto& name) { return profiles.contains(name); });
        }));
        CHECK(wait_for([&] { return it->group->leader().has_value(); }));
    }
}

TEST_CASE_METHOD(group_fixture, "a follower whose sync fails does not count for the majority")
{
    REQUIRE(wait_for([&] { return find_leader() != nullptr; }));
    auto* const leader = find_leader();
    for (auto& it : members_)
        it->storage->fails = it.get() != leader;
    std::optional<frontends::submit_result> result;
    leader->group->submit(put_profile("gold"), [&](const auto& done) { result = done; });
    REQUIRE(wait_for([&] { return result.has_value(); }));
    CHECK(result->status == submit_status::unknown);
    CHECK_FALSE(leader->group->is_leader());
    CHECK_FALSE(leader->group->state()->configuration.profiles.contains("gold"));
}

// A follower must not confirm a read, because its state may lack changes that the leader has already accepted.
TEST_CASE_METHOD(group_fixture, "a read is confirmed by the leader only")
{
    REQUIRE(wait_for([&] { return find_leader() != nullptr; }));
    auto* const leader = find_leader();
    for (auto& it : members_) {
        std::optional<bool> confirmed;
        it->group->confirm_read([&](bool done) { confirmed = done; });
        REQUIRE(wait_for([&] { return confirmed.has_value(); }));
        CHECK(*confirmed == (it.get() == leader));
    }
}

// A log of large usage records must not fill memory and disk before it reaches the limit of 1,024 entries.
TEST_CASE_METHOD(small_log_fixture, "a snapshot replaces the log at the size limit and contains the usage")
{
    REQUIRE(wait_for([&] { return find_leader() != nullptr; }));
    for (std::uint64_t flows = 1; flows <= 10; ++flows) {
        std::optional<frontends::submit_result> result;
        find_leader()->group->submit(create_usage_batch(flows), [&](const auto& done) { result = done; });
        REQUIRE(wait_for([&] { return result.has_value(); }));
        CHECK(result->status == submit_status::committed);
    }
    CHECK(wait_for([&] { return counters_.find("log_snapshots").value() >= 3; }));
    for (const auto& it : members_)
        CHECK(wait_for([&] { return totals(it->group->usage()).begin()->second.flows == 2000; }));
}

// A log written by an earlier version must still be decodable.
TEST_CASE("a usage record of an earlier version is decoded as a batch with one report")
{
    // Kind 3 with one encoded usage report: source 7, neighbour "n", service "s", hour 5, 9 flows.
    const std::string report("\x09\x07\x00\x00\x00\x00\x00\x00\x00\x12\x0a\x0a\x01n\x12\x01s\x18\x05\x20\x09", 21);
    std::string record("\x08\x03\x12\x15", 4);
    record.append(report);
    const auto decoded = frontends::wire::decode_control_command(record);
    CHECK(decoded
        == frontends::control_command(
            accounting::usage_batch{0, {{core::incarnation(7), {{{core::neighbour("n"), "s", 5}, {9, 0, 0, 0, 0}}}}}}));
    const frontends::control_command batch = create_usage_batch(3);
    CHECK(frontends::wire::decode_control_command(frontends::wire::encode(batch)) == batch);
}

// A stopping leader must not refer operators to itself, because it refuses their changes during the leadership
// transfer.
TEST_CASE_METHOD(group_fixture, "no leader is named during a leadership transfer until another member leads")
{
    REQUIRE(wait_for([&] { return find_leader() != nullptr; }));
    auto& old_leader = *find_leader();
    REQUIRE(submit(old_leader, "before")->status == submit_status::committed);
    bool done = false;
    old_leader.group->transfer_leadership(std::chrono::milliseconds(1000), [&] { done = true; });
    CHECK_FALSE(old_leader.group->leader());
    CHECK(submit(old_leader, "during")->status == submit_status::not_leader);
    REQUIRE(wait_for([&] { return done; }));
    REQUIRE(wait_for([&] { return find_leader() != nullptr; }));
    CHECK(find_leader() != &old_leader);
    CHECK(old_leader.group->leader());
}
