#include "ibisdyke/accounting/usage_state.h"

#include "ibisdyke/accounting/wire/accounting.pb.h"
#include "ibisdyke/accounting/wire/codec.h"
#include "ibisdyke/core/error.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <utility>

using namespace ibisdyke;
using namespace ibisdyke::accounting;

namespace {

constexpr std::uint64_t first_hour = 470'400;

usage_key create_key(std::uint64_t hour, const std::string& service = "dispatch")
{
    return {core::neighbour("moto-salama"), service, hour};
}

usage_counters create_counters(std::uint64_t flows)
{
    return {flows, 2 * flows, 3 * flows, 0, 0};
}

usage_report create_report(std::uint64_t source, const std::map<std::uint64_t, std::uint64_t>& flows_by_hour)
{
    usage_report result{core::incarnation(source), {}};
    for (const auto& [hour, flows] : flows_by_hour)
        result.usage.emplace(create_key(hour), create_counters(flows));
    return result;
}

usage_state merge_one(usage_state state, const usage_report& report, std::uint64_t hour)
{
    return merge(std::move(state), usage_batch{hour, {report}});
}

std::uint64_t total_flows(const usage_state& state)
{
    std::uint64_t result = 0;
    for (const auto& [key, counters] : totals(state))
        result += counters.flows;
    return result;
}

std::size_t count_open(const usage_state& state)
{
    std::size_t result = 0;
    for (const auto& [incarnation, source] : state.sources)
        result += source.open.size();
    return result;
}

} // namespace

// The state must not keep separate counters for every hour of every incarnation.
TEST_CASE("an hour is folded when its source reports a later one")
{
    auto state = merge_one({}, create_report(1, {{first_hour, 5}}), first_hour);
    state = merge_one(std::move(state), create_report(1, {{first_hour, 7}, {first_hour + 1, 2}}), first_hour + 1);
    REQUIRE(state.sources.size() == 1);
    CHECK(state.sources.begin()->second.open.size() == 1);
    CHECK(state.open_entries == 1);
    CHECK(state.folded.at(create_key(first_hour)) == create_counters(7));
    CHECK(total_flows(state) == 9);
}

// Usage that is already folded must not be counted twice.
TEST_CASE("late and repeated reports of a folded hour change nothing")
{
    const auto early = create_report(1, {{first_hour, 5}});
    const auto later = create_report(1, {{first_hour, 7}, {first_hour + 1, 2}});
    auto state = merge_one(merge_one({}, early, first_hour), later, first_hour + 1);
    const auto before = state;
    state = merge_one(std::move(state), early, first_hour + 1);
    state = merge_one(std::move(state), later, first_hour + 1);
    CHECK(state == before);
    CHECK(unrecorded(state, early).usage.empty());
    CHECK(unrecorded(state, later).usage.empty());
}

// After a partition, a source reports several hours for the first time. None of them may be lost.
TEST_CASE("hours that a source reports late are counted")
{
    auto state = merge_one({}, create_report(1, {{first_hour, 5}}), first_hour);
    state = merge_one(std::move(state),
        create_report(1, {{first_hour, 6}, {first_hour + 1, 10}, {first_hour + 2, 20}, {first_hour + 3, 40}}),
        first_hour + 3);
    CHECK(total_flows(state) == 76);
    CHECK(total_flows(merge_one({}, create_report(2, {{first_hour, 1}, {first_hour + 1, 2}}), first_hour + 1)) == 3);
}

// The state must not keep an incarnation that has ended for ever, nor count its last report again after its removal.
TEST_CASE("an ended incarnation is folded when its hour is closed, and its late report is ignored")
{
    const usage_limits limits;
    const auto last = create_report(1, {{first_hour, 5}});
    auto state = merge_one({}, last, first_hour);
    state = merge_one(std::move(state), create_report(2, {{first_hour + 26, 1}}), first_hour + limits.late_hours);
    CHECK(state.sources.size() == 2);
    state = merge_one(std::move(state), create_report(2, {{first_hour + 27, 1}}), first_hour + limits.late_hours + 1);
    CHECK(state.sources.size() == 1);
    CHECK(total_flows(state) == 7);
    CHECK(merge_one(state, last, first_hour + limits.late_hours + 1) == state);
}

// When the state has removed an idle source, the usage that it reports for the current hour must not be lost.
TEST_CASE("a source that was removed counts again from its next hour")
{
    auto state = merge_one({}, create_report(1, {{first_hour, 5}}), first_hour);
    state = merge_one(std::move(state), create_report(2, {{first_hour + 60, 1}}), first_hour + 60);
    state = merge_one(std::move(state), create_report(1, {{first_hour, 5}, {first_hour + 60, 3}}), first_hour + 60);
    CHECK(total_flows(state) == 9);
}

// No order of reports, resends, losses and restarts may count usage twice, even when the limits of the state are
// reached.
TEST_CASE("random schedules never count twice, and count everything while no limit is reached")
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        const bool has_low_limits = seed % 2 == 0;
        usage_limits limits;
        if (has_low_limits)
            limits = {26, 12, 6};
        std::map<std::uint64_t, std::map<std::uint64_t, std::uint64_t>> counted;
        std::vector<usage_report> sent;
        usage_state state;
        std::uint64_t source = 1;
        std::uint64_t expected = 0;
        for (std::uint64_t step = 0; step < 300; ++step) {
            const auto hour = first_hour + step / 10;
            if (random() % 20 == 0)
                ++source;
            // Three sources are active at a time. One of them adds usage in most steps.
            const auto used = source + random() % 3;
            const auto flows = random() % 5;
            counted[used][hour] += flows;
            expected += flows;
            sent.push_back(create_report(used, counted[used]));
            usage_batch batch{hour, {}};
            for (int i = 0; i < 4; ++i)
                batch.reports.push_back(sent[random() % sent.size()]);
            state = merge(std::move(state), batch, limits);
            REQUIRE(total_flows(state) <= expected);
            REQUIRE(state.open_entries == count_open(state));
            REQUIRE(state.open_entries <= limits.max_open);
            REQUIRE(state.folded.size() <= limits.max_folded);
        }
        for (const auto& [incarnation, hours] : counted)
            state = merge(std::move(state), usage_batch{first_hour + 26, {create_report(incarnation, hours)}}, limits);
        if (has_low_limits)
            CHECK(total_flows(state) <= expected);
        else
            CHECK(total_flows(state) == expected);
    }
}

// Memory must not grow with the number of incarnations in a day, and live agents must still be able to report.
TEST_CASE("a full state closes the oldest hours and keeps the current hours open")
{
    const usage_limits limits{26, 4, 100};
    usage_state state;
    for (std::uint64_t i = 0; i < 10; ++i)
        state = merge(std::move(state), usage_batch{first_hour + i, {create_report(i, {{first_hour + i, 1}})}}, limits);
    CHECK(state.open_entries == 4);
    CHECK(state.closed_before == first_hour + 6);
    CHECK(total_flows(state) == 10);
    for (std::uint64_t i = 20; i < 30; ++i)
        state = merge(std::move(state), usage_batch{first_hour + 9, {create_report(i, {{first_hour + 9, 1}})}}, limits);
    CHECK(state.open_entries == 4);
    CHECK(state.closed_before == first_hour + 8);
    CHECK(state.refused_reports == 8);
    CHECK(total_flows(state) == 12);
    // A refused agent reports again and is counted after an older hour has been closed.
    state = merge(std::move(state), usage_batch{first_hour + 12, {create_report(29, {{first_hour + 9, 1}})}}, limits);
    CHECK(total_flows(state) == 13);
    CHECK(state.closed_before == first_hour + 9);
}

// Sums must not be dropped while summing over longer spans would keep them within the limit.
TEST_CASE("full sums are kept by day, then by 30 days, then dropped oldest first")
{
    const usage_limits limits{26, 100, 60};
    usage_state state;
    constexpr std::uint64_t start = 468'000;
    std::uint64_t hours = 0;
    const auto run_to = [&](std::uint64_t end) {
        for (; hours < end; ++hours)
            state =
                merge(std::move(state), usage_batch{start + hours, {create_report(1, {{start + hours, 1}})}}, limits);
    };
    run_to(100);
    CHECK(state.dropped_sums == 0);
    CHECK(state.monthly_before == 0);
    CHECK(span_hours(state, start) == 24);
    CHECK(totals(state).at(create_key(start)).flows == 24);
    run_to(1500);
    CHECK(span_hours(state, start) == 720);
    CHECK(totals(state).at(create_key(start)).flows == 720);
    CHECK(total_flows(state) == 1500);
    CHECK(state.dropped_sums == 0);
    run_to(28'800);
    CHECK(state.dropped_sums > 0);
    CHECK(state.folded.size() <= limits.max_folded);
    CHECK(totals(state).begin()->first.hour > start);
}

TEST_CASE("late usage is added to the sum of its day")
{
    usage_state state;
    state.daily_before = first_hour + 24 - first_hour % 24;
    state = merge_one(std::move(state), create_report(1, {{first_hour, 5}, {first_hour + 24, 1}}), first_hour + 24);
    CHECK(totals(state).at(create_key(first_hour - first_hour % 24)).flows == 5);
}

// Decoding must not assign the entries of a batch to another key, and a state must not change in a snapshot.
TEST_CASE("batches and folded states are unchanged after encoding and decoding")
{
    const usage_batch batch{first_hour + 1,
        {create_report(1, {{first_hour, 5}, {first_hour + 1, 2}}), create_report(2, {{first_hour + 1, 9}})}};
    CHECK(decode_usage_batch(encode(batch)) == batch);
    auto state = merge({}, batch);
    state.daily_before = 24;
    state.monthly_before = 720;
    state.refused_reports = 3;
    state.dropped_sums = 4;
    state.closed_before = 9;
    CHECK(decode_usage_state(encode(state)) == state);
    wire::UsageBatch damaged;
    damaged.add_reports()->add_entries()->set_key(1);
    CHECK_THROWS_AS(decode_usage_batch(damaged.SerializeAsString()), core::malformed_message);
}

// An update from a version without folding must not lose usage or count it twice.
TEST_CASE("a saved state of an earlier version is folded when it is read")
{
    wire::UsageState saved;
    auto& source = *saved.add_sources();
    source.set_source(7);
    for (const auto hour : {first_hour, first_hour + 1, first_hour + 2}) {
        auto& entry = *source.add_entries();
        entry.set_consumer("moto-salama");
        entry.set_service("dispatch");
        entry.set_hour(hour);
        entry.set_flows(10);
        entry.set_packets(20);
        entry.set_bytes(30);
    }
    const auto state = decode_usage_state(saved.SerializeAsString());
    CHECK(state.folded.size() == 2);
    CHECK(total_flows(state) == 30);
    CHECK(unrecorded(state, create_report(7, {{first_hour, 11}, {first_hour + 2, 10}})).usage.empty());
}
