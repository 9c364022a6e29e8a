#include "lease_fixture.h"

#include <array>
#include <string>
#include <vector>

using namespace ibisdyke;
using namespace std::chrono_literals;
using membership::heartbeat;
using membership::heartbeat_result;
using membership::upstream_state;
using membership::testing::lease_fixture;

namespace {

const core::incarnation former_run{100};
const core::incarnation present_run{200};

/// What the late heartbeat says, which the former process has sent before the present one started.
enum class late_heartbeat : std::uint8_t {
    active,
    draining,
    departed,
};
constexpr std::array late_heartbeats{late_heartbeat::active, late_heartbeat::draining, late_heartbeat::departed};

/// The process that sent it: the former agent process, or the present one before its upstream restarted.
enum class late_sender : std::uint8_t {
    former_process,
    same_process,
};
constexpr std::array late_senders{late_sender::former_process, late_sender::same_process};

/// What the leader knows when the late heartbeat arrives.
enum class leader_state : std::uint8_t {
    /// It has the leases of both processes.
    same,
    /// The former process ended so long ago that the leader keeps no trace of it.
    same_for_long,
    /// A new leader, which the present process has not reached yet.
    replaced,
    /// A new leader, which the present process has reached.
    replaced_and_reached,
    /// The present process was paused for longer than its lease.
    present_process_paused,
};
constexpr std::array leader_states{leader_state::same, leader_state::same_for_long, leader_state::replaced,
    leader_state::replaced_and_reached, leader_state::present_process_paused};

/// Whether the heartbeat reaches the leader directly or in the report of a follower.
enum class late_path : std::uint8_t {
    direct,
    follower,
};
constexpr std::array late_paths{late_path::direct, late_path::follower};

struct late_case {
    late_heartbeat says;
    late_sender sender;
    leader_state leader;
    late_path path;
    /// Whether the present run has left before, so that its record is gone.
    bool has_left;
};

std::vector<late_case> all_cases()
{
    std::vector<late_case> result;
    for (const auto says : late_heartbeats) {
        for (const auto sender : late_senders) {
            for (const auto leader : leader_states) {
                for (const auto path : late_paths) {
                    for (const bool has_left : {false, true})
                        result.push_back({says, sender, leader, path, has_left});
                }
            }
        }
    }
    return result;
}

class former_agent_fixture : public lease_fixture {
public:
    /// Plays a former process or run, then the present one, and returns the heartbeat that was held up.
    heartbeat play_up_to_late_heartbeat(const late_case& it)
    {
        add_agent("other", 7100);
        auto& former = add_agent("host-0", 7000);
        former.upstream_incarnation = former_run;
        run(5s);
        auto late = former;
        ++former.sequence;
        late.sequence = former.sequence;
        late.draining = it.says != late_heartbeat::active;
        late.departed = it.says == late_heartbeat::departed;
        auto& present = it.sender == late_sender::former_process ? restart_agent() : former;
        present.upstream_incarnation = present_run;
        run(1s);
        REQUIRE(record("host-0").incarnation == present_run);
        if (it.has_left)
            leave(present);
        prepare_leader(it.leader);
        return late;
    }

    void deliver(const heartbeat& late, late_path path)
    {
        if (path == late_path::direct)
            table_.on_heartbeat(late, now_);
        else
            table_.on_reported_heartbeat(late, now_, now_);
    }

private:
    heartbeat& restart_agent()
    {
        const auto sequence = senders_["host-0"].sequence;
        auto& result = add_agent("host-0", 7000);
        // Sequence numbers begin with the time of day, so that they rise across restarts.
        result.sequence = sequence + 1000;
        return result;
    }

    void leave(heartbeat& present)
    {
        present.departed = true;
        run(1s);
        REQUIRE(record("host-0").state == upstream_state::gone);
        silent_.insert("host-0");
    }

    void prepare_leader(leader_state it)
    {
        switch (it) {
        case leader_state::same:
            return;
        case leader_state::same_for_long:
            run(20s);
            return;
        case leader_state::replaced:
            change_leader();
            return;
        case leader_state::replaced_and_reached:
            change_leader();
            run(600ms);
            return;
        case leader_state::present_process_paused:
            now_ += 2500ms;
            return;
        }
    }
};

} // namespace

// A heartbeat of a former agent process, or of the present one about a former run of its upstream, can be held up and
// arrive at any later time, also at a leader that has just been elected. The record must go on describing the present
// run, or that it has left, and the present process must not be refused because of it.
TEST_CASE("a late heartbeat about a former run does not change the record, whatever the leader knows")
{
    for (const auto& it : all_cases()) {
        INFO("says " << int(it.says) << ", sender " << int(it.sender) << ", leader " << int(it.leader) << ", path "
                     << int(it.path) << ", has left " << it.has_left);
        former_agent_fixture played;
        former_agent_fixture without_late_heartbeat;
        const auto late = played.play_up_to_late_heartbeat(it);
        without_late_heartbeat.play_up_to_late_heartbeat(it);
        played.deliver(late, it.path);
        for (core::milliseconds at{0}; at < 3s; at += 100ms) {
            INFO("after " << at.count() << " ms");
            CHECK(played.record("host-0") == without_late_heartbeat.record("host-0"));
            played.run(100ms);
            without_late_heartbeat.run(100ms);
        }
        CHECK(played.record("host-0").incarnation == present_run);
        CHECK(played.record("host-0").state == (it.has_left ? upstream_state::gone : upstream_state::active));
        if (!it.has_left)
            CHECK(played.answers_["host-0"].result == heartbeat_result::accepted);
    }
}

// A process that is new, or was cut off for so long that its upstream is gone, must be accepted as soon as it has
// applied the record, also by a new leader.
TEST_CASE_METHOD(lease_fixture, "a process that has applied the record is accepted")
{
    add_agents(4);
    senders_["host-0"].upstream_incarnation = former_run;
    run(5s);
    silent_.insert("host-0");
    run(10s);
    REQUIRE(record("host-0").state == upstream_state::gone);
    auto& cut_off = senders_["host-0"];
    const auto newest = cut_off.applied;
    cut_off.applied = version_before(1);
    CHECK(send(cut_off).result == heartbeat_result::name_taken);
    cut_off.applied = newest;
    CHECK(send(cut_off).result == heartbeat_result::accepted);
    silent_.clear();
    run(600ms);
    CHECK(record("host-0").state == upstream_state::active);
    change_leader();
    auto& restarted = add_agent("host-0", 7000);
    restarted.upstream_incarnation = present_run;
    CHECK(send(restarted).result == heartbeat_result::accepted);
    run(200ms);
    CHECK(record("host-0").incarnation == present_run);
}
