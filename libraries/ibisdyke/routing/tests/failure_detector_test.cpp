#include "ibisdyke/routing/failure_detector.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace std::chrono_literals;
using routing::failure_detector;

namespace {

const core::time_point start{1h};

void record_successes(failure_detector& it, std::size_t n)
{
    for (std::size_t i = 0; i < n; ++i)
        it.record_success();
}

} // namespace

// A healthy upstream would lose new flows if single failures among many successes made it count as failing.
TEST_CASE("an upstream with few failures among many successes is not failing")
{
    failure_detector it;
    it.record_failure(start);
    CHECK_FALSE(it.is_failing(start));
    for (int i = 0; i < 20; ++i) {
        record_successes(it, 7);
        it.record_failure(start);
        CHECK_FALSE(it.is_failing(start));
    }
}

TEST_CASE("an upstream that fails a quarter of its requests is failing for a second")
{
    failure_detector it;
    record_successes(it, 100);
    for (int i = 0; i < 3; ++i) {
        it.record_failure(start);
        record_successes(it, 2);
        CHECK_FALSE(it.is_failing(start));
    }
    it.record_failure(start);
    CHECK(it.is_failing(start));
    CHECK(it.is_failing(start + 999ms));
    CHECK_FALSE(it.is_failing(start + 1s));
}

// The pause must not grow with each failure during a pause, and must not stay short for an upstream that fails again as
// soon as it gets flows.
TEST_CASE("the pause doubles up to its maximum when the upstream fails again after it")
{
    failure_detector it;
    it.record_failure(start);
    auto now = start;
    for (const auto pause : {1s, 2s, 4s, 8s, 8s}) {
        for (int i = 0; i < 5; ++i)
            it.record_failure(now + std::chrono::milliseconds(i));
        CHECK(it.is_failing(now + pause - 1ms));
        CHECK_FALSE(it.is_failing(now + pause));
        now += pause;
    }
}

// Failures of long ago must not lengthen the next pause.
TEST_CASE("a window of successes resets the pause to the first one")
{
    failure_detector it;
    for (int i = 0; i < 2; ++i)
        it.record_failure(start);
    auto now = start + 2s;
    it.record_failure(now);
    CHECK(it.is_failing(now + 1500ms));
    now += 10s;
    record_successes(it, failure_detector::window);
    it.record_failure(now);
    CHECK_FALSE(it.is_failing(now));
    for (int i = 0; i < 3; ++i)
        it.record_failure(now);
    CHECK(it.is_failing(now + 999ms));
    CHECK_FALSE(it.is_failing(now + 1s));
}
