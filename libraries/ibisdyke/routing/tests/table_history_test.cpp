#include "ibisdyke/routing/table_history.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace std::chrono_literals;
using routing::table_history;

namespace {

const core::time_point start{1h};

} // namespace

// Guards against a flow that is lost because its packets are refused while the change that names its member is on its
// way, and against an agent that waits for a change for ever.
TEST_CASE("a change that only other processes have is waited for, for as long as it may take to spread")
{
    table_history history;
    history.record_seen({1, 5}, {1, 4}, start);
    CHECK(history.lacks_change({1, 4}, {1, 4}, start));
    // The balancer's table or the agent's own has it.
    CHECK_FALSE(history.lacks_change({1, 5}, {1, 4}, start));
    CHECK_FALSE(history.lacks_change({1, 4}, {1, 5}, start));
    history.record_seen({1, 6}, {1, 4}, start + 9s);
    CHECK(history.lacks_change({1, 4}, {1, 4}, start + 9s));
    CHECK_FALSE(history.lacks_change({1, 4}, {1, 4}, start + 10s));
    history.record_seen({1, 6}, {1, 6}, start + 11s);
    CHECK_FALSE(history.lacks_change({1, 4}, {1, 4}, start + 11s));
}

// Guards against a watermark that passes a table by which balancers still place flows.
TEST_CASE("the oldest table by which flows are placed was in force within the time that changes take")
{
    table_history history;
    CHECK(history.oldest_in_use({1, 3}) == core::version{1, 3});
    history.record_applied({1, 3}, start);
    history.record_applied({1, 4}, start + 1s);
    history.record_applied({1, 5}, start + 8s);
    CHECK(history.oldest_in_use({1, 5}) == core::version{1, 3});
    history.record_applied({1, 5}, start + 11s);
    CHECK(history.oldest_in_use({1, 5}) == core::version{1, 4});
    history.record_applied({1, 5}, start + 60s);
    CHECK(history.oldest_in_use({1, 5}) == core::version{1, 5});
}
