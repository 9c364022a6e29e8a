#include "ibisdyke/accounting/usage_counter.h"
#include "ibisdyke/accounting/usage_state.h"
#include "ibisdyke/accounting/wire/codec.h"
#include "ibisdyke/core/error.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <utility>

using namespace ibisdyke;
using namespace ibisdyke::accounting;
using namespace std::chrono_literals;

namespace {

const core::wall_time noon{std::chrono::hours(470'000)};
const core::neighbour riechwerk{"riechwerk"};

usage_state merge_one(usage_state state, const usage_report& report)
{
    return merge(std::move(state), usage_batch{470'000, {report}});
}

usage_counters create_counters(std::uint64_t n)
{
    return {n, 2 * n, 3 * n, 4 * n, 5 * n};
}

} // namespace

// Usage must not be counted twice when a report is resent, nor lost when reports arrive out of order.
TEST_CASE("reports that are resent, reordered or lost do not change the totals")
{
    usage_counter counter(core::incarnation(9));
    std::vector<usage_report> reports;
    for (int i = 0; i < 50; ++i) {
        counter.add(riechwerk, "dossier-store", create_counters(1), noon + std::chrono::minutes(i * 5));
        reports.push_back(counter.report());
    }
    const auto last = reports.back();
    std::mt19937 random(3);
    auto delivered = reports;
    delivered.insert(delivered.end(), reports.begin(), reports.end());
    std::shuffle(delivered.begin(), delivered.end(), random);
    // Loses some of the reports at random. The last report arrives at least once.
    delivered.resize(60);
    delivered.push_back(last);
    usage_state state;
    for (const auto& it : delivered)
        state = merge_one(state, it);
    std::uint64_t requests = 0;
    for (const auto& [key, it] : totals(state))
        requests += it.requests;
    CHECK(requests == 200);
    CHECK(merge_one(state, last) == state);
}

// The counters of a restarted agent begin at zero and must not replace the usage that its earlier process reported.
TEST_CASE("the counters of two incarnations of an agent add up")
{
    usage_state state;
    for (const std::uint64_t incarnation : {1U, 2U}) {
        usage_counter counter{core::incarnation(incarnation)};
        counter.add(riechwerk, "dossier-store", create_counters(incarnation * 10), noon);
        state = merge_one(state, counter.report());
    }
    CHECK(totals(state)
        == std::map<usage_key, usage_counters>{{{riechwerk, "dossier-store", 470'000}, create_counters(30)}});
}

TEST_CASE("usage is recorded in the hour in which it occurs")
{
    usage_counter counter(core::incarnation(1));
    counter.add(riechwerk, "s", create_counters(1), noon + 59min + 59s);
    counter.add(riechwerk, "s", create_counters(1), noon + 1h);
    CHECK(counter.report().usage.size() == 2);
    CHECK(counter.changes() == 2);
}

// A report must not grow with the uptime of the agent until it no longer fits into a heartbeat.
TEST_CASE("hours that ended long ago are no longer reported")
{
    usage_counter counter(core::incarnation(1));
    for (int hour = 0; hour < 100; ++hour)
        counter.add(riechwerk, "s", create_counters(1), noon + std::chrono::hours(hour));
    CHECK(counter.report().usage.size() == usage_counter::reported_hours + 1);
}

TEST_CASE("reports and states are unchanged after encoding and decoding")
{
    usage_counter counter(core::incarnation(0xffff'ffff'ffff'fffeU));
    counter.add(riechwerk, "dossier-store", create_counters(7), noon);
    counter.add(core::neighbour("moto-salama"), "reports", create_counters(9), noon + 1h);
    const auto report = counter.report();
    CHECK(decode_usage_report(encode(report)) == report);
    auto state = merge_one({}, report);
    usage_counter other(core::incarnation(4));
    other.add(riechwerk, "dossier-store", create_counters(1), noon);
    state = merge_one(state, other.report());
    CHECK(decode_usage_state(encode(state)) == state);
    CHECK(decode_usage_state("") == usage_state{});
}

TEST_CASE("damaged messages are rejected")
{
    CHECK_THROWS_AS(decode_usage_report("\xff"), core::malformed_message);
    CHECK_THROWS_AS(decode_usage_state("\x0a\x7f"), core::malformed_message);
}
