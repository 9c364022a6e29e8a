#include "ibisdyke/membership/upstream_presence.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace std::chrono_literals;
using membership::announcement;
using membership::presence;

namespace {

const core::endpoint address{0x0a00'0001, 8080};
const core::time_point start{1h};

announcement announced(const std::string& id, std::uint64_t started_at_ms, std::uint64_t sequence)
{
    announcement result;
    result.id = id;
    result.started_at_ms = started_at_ms;
    result.sequence = sequence;
    result.service = "desk";
    result.address = address;
    return result;
}

/// Tracks the upstream since its first run.
membership::upstream_presence make_presence()
{
    membership::upstream_presence result{"desk", address, 1s};
    result.set_has_predecessor(false);
    return result;
}

} // namespace

// An upstream that drains or has sent no announcements for some time must get no new flows.
TEST_CASE("the state follows the announcements of the upstream and their absence")
{
    auto it = make_presence();
    CHECK(it.state(start) == presence::absent);
    CHECK(it.on_announcement(announced("a", 5, 1), start));
    CHECK(it.state(start) == presence::ready);
    CHECK(it.state(start + 3s) == presence::ready);
    CHECK(it.state(start + 3001ms) == presence::absent);
    auto draining = announced("a", 5, 2);
    draining.draining = true;
    CHECK(it.on_announcement(draining, start + 4s));
    CHECK(it.state(start + 4s) == presence::draining);
    it.on_departure("other", start + 4s);
    CHECK(it.state(start + 4s) == presence::draining);
    it.on_departure("a", start + 4s);
    CHECK(it.state(start + 4s) == presence::left);
}

// A late announcement from before a drain must not make the upstream accept new flows again.
TEST_CASE("a late announcement of the same run changes nothing")
{
    auto it = make_presence();
    auto draining = announced("a", 5, 7);
    draining.draining = true;
    CHECK(it.on_announcement(draining, start));
    CHECK_FALSE(it.on_announcement(announced("a", 5, 6), start + 1s));
    CHECK_FALSE(it.on_announcement(announced("a", 5, 7), start + 1s));
    CHECK(it.state(start + 1s) == presence::draining);
}

// A delayed announcement of a dead run must not replace the current run.
TEST_CASE("an announcement of an earlier run is ignored, whatever its sequence number")
{
    auto it = make_presence();
    CHECK(it.on_announcement(announced("a", 5, 70), start));
    CHECK(it.on_announcement(announced("b", 9, 1), start + 1s));
    CHECK(it.run_count() == 2);
    CHECK_FALSE(it.on_announcement(announced("a", 5, 71), start + 1100ms));
    CHECK_FALSE(it.on_announcement(announced("c", 7, 1), start + 1200ms));
    CHECK(it.latest()->id == "b");
    CHECK_FALSE(it.on_announcement(announced("a", 5, 72), start + 1h));
}

TEST_CASE("an upstream that restarts with the same id is a new run")
{
    auto it = make_presence();
    CHECK(it.on_announcement(announced("a", 5, 70), start));
    it.on_departure("a", start);
    CHECK(it.on_announcement(announced("a", 9, 1), start + 1s));
    CHECK(it.run_count() == 2);
    CHECK(it.state(start + 1s) == presence::ready);
}

// If the upstream's clock is set back between two runs, the new run has an earlier start time. Its announcements must
// not be ignored for ever.
TEST_CASE("a run with an earlier start time replaces a silent run")
{
    auto it = make_presence();
    CHECK(it.on_announcement(announced("a", 9, 3), start));
    CHECK_FALSE(it.on_announcement(announced("b", 5, 1), start + 1s));
    CHECK(it.on_announcement(announced("b", 5, 2), start + 2s));
    CHECK(it.latest()->id == "b");
}

TEST_CASE("announcements of another service or address are ignored")
{
    auto it = make_presence();
    auto other = announced("a", 5, 1);
    other.service = "store";
    CHECK_FALSE(it.on_announcement(other, start));
    other = announced("a", 5, 1);
    other.address.port = 1;
    CHECK_FALSE(it.on_announcement(other, start));
    CHECK(it.state(start) == presence::absent);
}

TEST_CASE("the cold start ends at the last announced time")
{
    auto it = make_presence();
    auto cold = announced("a", 5, 1);
    cold.cold_start_remaining = 1500ms;
    CHECK(it.on_announcement(cold, start));
    CHECK(it.cold_until() == start + 1500ms);
    CHECK(it.on_announcement(announced("a", 5, 2), start + 1s));
    CHECK(it.cold_until() == start + 1s);
}

// A restarted agent waits for the upstream's next announcement. Until then it goes on with what its earlier process has
// reported; otherwise the lease of the record ends, and balancers and other agents reject the upstream's open flows.
TEST_CASE("a recorded upstream keeps its state until its next announcement is overdue")
{
    for (const bool draining : {false, true}) {
        INFO("draining " << draining);
        auto it = make_presence();
        it.on_record({9, draining}, start);
        CHECK(it.state(start) == presence::recorded);
        CHECK(it.is_draining(start) == draining);
        CHECK(it.run_started_at_ms() == 9);
        CHECK(it.state(start + 3s) == presence::recorded);
        CHECK(it.state(start + 3001ms) == presence::absent);
        auto next = announced("a", 9, 7);
        next.draining = draining;
        CHECK(it.on_announcement(next, start + 3100ms));
        CHECK(it.state(start + 3100ms) == (draining ? presence::draining : presence::ready));
    }
}

// The upstream may have stopped while no agent ran. Its notice must then not be lost, and its silence decides.
TEST_CASE("a departure notice before the first announcement ends a recorded upstream that stays silent")
{
    auto it = make_presence();
    it.set_has_predecessor(true);
    it.on_record({9, true}, start);
    for (auto at = start; at <= start + 2s; at += 100ms) {
        if (at == start + 100ms)
            it.on_departure("a", at);
        it.update(at);
    }
    CHECK(it.state(start + 2s) == presence::left);
}

// An upstream whose run is not recorded has nothing that a restarted agent could go on with.
TEST_CASE("a record without a run leaves the upstream absent")
{
    auto it = make_presence();
    it.on_record({}, start);
    CHECK(it.state(start) == presence::absent);
}
