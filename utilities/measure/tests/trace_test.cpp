#include "ibisdyke/core/error.h"
#include "measure/experiments/random_schedule.h"
#include "measure/trace/trace.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <string>

using namespace ibisdyke::measure;

namespace {

const QByteArray first_line =
    R"({"domains":2,"balancers":2,"control":1,"services":[{"name":"a","upstreams":2,"slots":3}],"seconds":5})";

} // namespace

TEST_CASE("a trace holds its topology, its events in time order and its expectations")
{
    const auto it = trace::create(first_line + "\n" + R"({"at_ms":2000,"do":"domain-out","target":"domain-1"}
{"at_ms":1000,"do":"partition","a":["control-0"],"b":["balancer-0"]}
{"expect":{"broken_flows":{"max":0}}})");
    CHECK(it.deployment.services.at(0).slots == 3);
    REQUIRE(it.events.size() == 2);
    CHECK(it.events[0].what == verb::partition);
    CHECK(it.events[1].target == "domain-1");
    CHECK(it.expected.at("broken_flows") == bound{std::nullopt, 0.0});
}

// A misspelt field or verb must not be ignored, because the trace would then test something else.
TEST_CASE("a trace with an unknown field, verb or result field is rejected with its line number")
{
    const auto* const text = GENERATE(R"({"at_ms":1,"do":"explode","target":"balancer-0"})",
        R"({"at_ms":1,"do":"kill","target":"balancer-0","when":3})", R"({"expect":{"broken_flow":{"max":0}}})",
        R"({"at_ms":1,"do":"kill"})", R"({"at_ms":1,"do":"kill","target":"balancer-0","rate_factor":3})", "not JSON");
    CHECK_THROWS_WITH(trace::create(first_line + "\n" + text), Catch::Contains("line 2"));
}

// A field that was not measured must not count as within its bound.
TEST_CASE("a field that was not measured violates its bound")
{
    CHECK(find_misses({{"flows", {std::nullopt, 5.0}}}, {}).size() == 1);
    CHECK(find_misses({{"flows", {1.0, 5.0}}}, {{"flows", 5}}).empty());
    CHECK(find_misses({{"flows", {1.0, 5.0}}}, {{"flows", 6}}).size() == 1);
}

// A random run must be repeatable from its seed and from the trace file that it writes.
TEST_CASE("a random trace is the same for the same seed, and after it is written and parsed")
{
    const auto it = create_random_trace(7, 30);
    CHECK(it == create_random_trace(7, 30));
    CHECK_FALSE(it.events == create_random_trace(8, 30).events);
    CHECK(trace::create(QByteArray::fromStdString(to_text(it))) == it);
}

// The long soak draws its schedules from this list. A kind that no seed contains would not be tested.
TEST_CASE("random traces contain bursts of each kind of load and replacements of all upstreams of a service")
{
    std::map<std::string, int> bursts;
    int replaced_services = 0;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        std::set<std::string> stopped;
        std::map<std::string, double> last_rate_factor;
        for (const auto& it : create_random_trace(seed, 20).events) {
            if (it.what == verb::stop)
                stopped.insert(it.target);
            if (it.what == verb::load) {
                bursts[it.target] += it.rate_factor > 1 ? 1 : 0;
                last_rate_factor[it.target] = it.rate_factor;
            }
        }
        replaced_services += stopped.size() == 4 ? 1 : 0;
        for (const auto& [load, rate_factor] : last_rate_factor)
            CHECK(rate_factor == 1);
    }
    CHECK(bursts["flows"] > 0);
    CHECK(bursts["requests"] > 0);
    CHECK(replaced_services > 0);
}
