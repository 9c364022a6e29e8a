#include "ibisdyke/routing/table_history.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace std::chrono_literals;
using routing::table_history;

namespace {

const core::time_point start{1h};

} // namespace

// A flow would be broken if its packets were rejected while the change that added its member is still spreading. An
// agent must not wait for a change forever either.
TEST_CASE("an agent waits up to table_lag for a change that only other processes have applied")
{
    table_history history;
    history.record_seen({1, 5}, {1, 4}, start);
    CHECK(history.lacks_change({1, 4}, {1, 4}, start));
    // The balancer or the agent has applied the change.
    CHECK_FALSE(history.lacks_change({1, 5}, {1, 4}, start));
    CHECK_FALSE(history.lacks_change({1, 4}, {1, 5}, start));
    history.record_seen({1, 6}, {1, 4}, start + 9s);
    CHECK(history.lacks_change({1, 4}, {1, 4}, start + 9s));
    CHECK_FALSE(history.lacks_change({1, 4}, {1, 4}, start + 10s));
    history.record_seen({1, 6}, {1, 6}, start + 11s);
    CHECK_FALSE(history.lacks_change({1, 4}, {1, 4}, start + 11s));
}

// The watermark must not pass a table with which balancers still place flows.
TEST_CASE("the oldest table in use was replaced within table_lag")
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
