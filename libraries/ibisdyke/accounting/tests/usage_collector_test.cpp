#include "ibisdyke/accounting/usage_collector.h"

#include <catch2/catch.hpp>

#include <set>
#include <utility>

using namespace ibisdyke;
using namespace ibisdyke::accounting;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t hour = 470'000;
const core::wall_time noon{std::chrono::hours(hour)};
const core::time_point start{};

usage_report create_report(std::uint64_t source, std::uint64_t flows)
{
    return {core::incarnation(source), {{{core::neighbour("riechwerk"), "dossier-store", hour}, {flows, 0, 0, 0, 0}}}};
}

} // namespace

// At the design size, the log cannot hold one entry for each agent.
TEST_CASE("all reports of a period are combined into one batch")
{
    usage_collector collector({}, start);
    const usage_state recorded;
    for (std::uint64_t i = 0; i < 9300; ++i) {
        REQUIRE(collector.add_report(create_report(i, 1), recorded));
        REQUIRE(collector.add_report(create_report(i, 2), recorded));
        REQUIRE(collector.add_report(create_report(i, 1), recorded));
    }
    CHECK_FALSE(collector.take_batch(recorded, start + 1999ms, noon));
    const auto batch = collector.take_batch(recorded, start + 2s, noon);
    REQUIRE(batch);
    CHECK(batch->hour == hour);
    CHECK(batch->reports.size() == 9300);
    CHECK(batch->reports.back() == create_report(9299, 2));
    collector.finish_batch(true);
    CHECK_FALSE(collector.take_batch(recorded, start + 4s, noon));
}

// The size of a batch must not grow with the number of agents, and every report must be included in the end.
TEST_CASE("reports that exceed the batch limit wait, and later batches include them")
{
    usage_collector collector({2000ms, 4, 10, 100}, start);
    std::set<core::incarnation> seen;
    auto now = start;
    std::uint64_t flows = 1;
    for (int round = 0; round < 3; ++round) {
        for (std::uint64_t i = 0; i < 10; ++i)
            REQUIRE(collector.add_report(create_report(i, flows), {}));
        ++flows;
        now += 2s;
        const auto batch = collector.take_batch({}, now, noon);
        REQUIRE(batch);
        CHECK(batch->reports.size() == 4);
        for (const auto& it : batch->reports)
            seen.insert(it.source);
        collector.finish_batch(true);
    }
    CHECK(seen.size() == 10);
}

// Two batches must not be in progress at once, and the usage in a batch that was not committed must not be lost.
TEST_CASE("one batch is in progress at a time, and the reports of a lost batch wait again")
{
    usage_collector collector({}, start);
    REQUIRE(collector.add_report(create_report(1, 5), {}));
    const auto lost = collector.take_batch({}, start + 2s, noon);
    REQUIRE(lost);
    REQUIRE(collector.add_report(create_report(1, 4), {}));
    REQUIRE(collector.add_report(create_report(2, 1), {}));
    CHECK_FALSE(collector.take_batch({}, start + 4s, noon));
    collector.finish_batch(false);
    const auto again = collector.take_batch({}, start + 4s, noon);
    REQUIRE(again);
    CHECK(again->reports == std::vector<usage_report>{create_report(1, 5), create_report(2, 1)});
}

// Usage that agents report repeatedly must not fill the log.
TEST_CASE("recorded usage is not recorded again")
{
    usage_collector collector({}, start);
    const auto recorded = merge({}, usage_batch{hour, {create_report(1, 5)}});
    REQUIRE(collector.add_report(create_report(1, 5), recorded));
    CHECK_FALSE(collector.take_batch(recorded, start + 2s, noon));
    // The usage was committed after the report had arrived, by a batch that was considered lost.
    REQUIRE(collector.add_report(create_report(2, 5), {}));
    CHECK_FALSE(collector.take_batch(merge({}, usage_batch{hour, {create_report(2, 6)}}), start + 4s, noon));
}

// Memory must stay bounded when a faulty or hostile process sends reports.
TEST_CASE("reports that are too large or too many are refused")
{
    usage_collector collector({2000ms, 100, 2, 3}, start);
    usage_report large{core::incarnation(1), {}};
    for (std::uint64_t i = 0; i < 3; ++i)
        large.usage[{core::neighbour("n"), "s", hour + i}] = {1, 1, 1, 1, 1};
    CHECK_FALSE(collector.add_report(large, {}));
    for (std::uint64_t i = 0; i < 3; ++i)
        CHECK(collector.add_report(create_report(i, 1), {}));
    CHECK_FALSE(collector.add_report(create_report(3, 1), {}));
    const auto batch = collector.take_batch({}, start + 2s, noon);
    REQUIRE(batch);
    collector.finish_batch(true);
    CHECK(collector.add_report(create_report(3, 1), {}));
}
