#include "measure/operators/config_tracker.h"
#include "measure/proxy/link_table.h"
#include "measure/requests/answer_body.h"
#include "measure/results/balance_meter.h"
#include "measure/results/fault_history.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace ibisdyke::measure;
using namespace std::chrono_literals;

namespace {

core::time_point at(std::chrono::seconds it)
{
    return core::time_point(it);
}

} // namespace

// A broken flow must be counted even if another upstream had a fault, or the same upstream at another time.
TEST_CASE("a flow may end early only if its upstream exits or its failure domain is out during the flow")
{
    fault_history faults({{"a-0", "domain-0"}, {"a-1", "domain-1"}});
    faults.add_exit("a-0", at(5s));
    faults.begin_domain_absence("domain-1", at(10s));
    faults.end_domain_absence("domain-1", at(12s));
    CHECK(faults.explains_early_end("a-0", at(1s), at(6s)));
    CHECK_FALSE(faults.explains_early_end("a-0", at(6s), at(9s)));
    CHECK_FALSE(faults.explains_early_end("a-0", at(1s), at(4s)));
    CHECK(faults.explains_early_end("a-1", at(1s), at(11s)));
    CHECK_FALSE(faults.explains_early_end("a-1", at(13s), at(14s)));
    CHECK_FALSE(faults.explains_early_end("a-1", at(1s), at(9s)));
}

TEST_CASE("a change is in effect when every live process has applied its version")
{
    config_tracker tracker;
    tracker.add_accepted({1, 5}, at(1s));
    tracker.observe("x", 1, {1, 5});
    tracker.observe("y", 1, {1, 4});
    tracker.check_pending({"x", "y"}, at(2s));
    CHECK(tracker.has_pending());
    tracker.observe("y", 1, {2, 6});
    tracker.check_pending({"x", "y"}, at(3s));
    CHECK(tracker.times_ms(at(9s)) == std::vector<std::int64_t>{2000});
    CHECK(tracker.reverts() == 0);
}

// A process that reverts to an older configuration must be counted.
TEST_CASE("an older version counts as a revert, but not after a restart")
{
    config_tracker tracker;
    tracker.observe("x", 1, {1, 5});
    tracker.observe("x", 2, {1, 3});
    CHECK(tracker.reverts() == 0);
    tracker.observe("x", 2, {1, 2});
    CHECK(tracker.reverts() == 1);
}

TEST_CASE("imbalance is the largest count over the mean")
{
    balance_meter meter;
    CHECK_FALSE(meter.imbalance());
    meter.exclude("a-3");
    meter.add_sample("a", {{"a-0", 40}, {"a-1", 60}, {"a-2", 50}, {"a-3", 0}});
    REQUIRE(meter.imbalance());
    CHECK(*meter.imbalance() == Approx(1.2));
}

TEST_CASE("a partition cuts both directions between its sides only")
{
    link_table links({{"x", "domain-0"}, {"y", "domain-1"}, {"z", "domain-1"}}, 1ms, 3ms);
    links.partition({"x"}, {"y"});
    CHECK(links.is_cut("x", "y"));
    CHECK(links.is_cut("y", "x"));
    CHECK_FALSE(links.is_cut("x", "z"));
    links.heal({"x"}, {});
    CHECK_FALSE(links.is_cut("x", "y"));
    CHECK(links.conditions("x", "y").delay == 1ms);
    CHECK(links.conditions("y", "z").delay == 0ms);
    CHECK(links.conditions("callers", "z").delay == 3ms);
}

// Mixed or truncated answers must not be accepted as complete.
TEST_CASE("a reader accepts only the complete answer to its own request")
{
    answer_writer writer("key-1", "a-0", 200'000);
    std::string body;
    while (!writer.finished())
        body += writer.next(65'536);
    const auto is_complete = [](const std::string& key, const std::string& bytes) {
        answer_reader reader(key);
        for (std::size_t i = 0; i < bytes.size(); i += 1000)
            reader.append(std::string_view(bytes).substr(i, 1000));
        return reader.is_complete();
    };
    CHECK(is_complete("key-1", body));
    CHECK_FALSE(is_complete("key-2", body));
    CHECK_FALSE(is_complete("key-1", body.substr(0, body.size() - 1)));
    CHECK_FALSE(is_complete("key-1", body + "x"));
    body[100'000] = '#';
    CHECK_FALSE(is_complete("key-1", body));
}
