#include "ibisdyke/routing/failure_detector.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace std::chrono_literals;
using routing::failure_detector;

namespace {

const core::time_point start{1h};

void succeed(failure_detector& it, std::size_t n)
{
    for (std::size_t i = 0; i < n; ++i)
        it.record_success();
}

} // namespace

// Guards against an upstream that is spared for the single failures of a healthy one.
TEST_CASE("a few failures among many successes are no failing upstream")
{
    failure_detector it;
    it.record_failure(start);
    CHECK_FALSE(it.is_failing(start));
    for (int i = 0; i < 20; ++i) {
        succeed(it, 7);
        it.record_failure(start);
        CHECK_FALSE(it.is_failing(start));
    }
}

TEST_CASE("an upstream that fails a quarter of its requests is spared for a second")
{
    failure_detector it;
    succeed(it, 100);
    for (int i = 0; i < 3; ++i) {
        it.record_failure(start);
        succeed(it, 2);
        CHECK_FALSE(it.is_failing(start));
    }
    it.record_failure(start);
    CHECK(it.is_failing(start));
    CHECK(it.is_failing(start + 999ms));
    CHECK_FALSE(it.is_failing(start + 1s));
}

// Guards against a pause that grows with each failure of one episode, and against one that stays short for an upstream
// that fails again as soon as it gets flows.
TEST_CASE("the pause doubles when the upstream fails after it, up to its bound")
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

// Guards against an upstream that stays under suspicion for failures of long ago.
TEST_CASE("after a whole window of successes the next pause is the first one again")
{
    failure_detector it;
    for (int i = 0; i < 2; ++i)
        it.record_failure(start);
    auto now = start + 2s;
    it.record_failure(now);
    CHECK(it.is_failing(now + 1500ms));
    now += 10s;
    succeed(it, failure_detector::window);
    it.record_failure(now);
    CHECK_FALSE(it.is_failing(now));
    for (int i = 0; i < 3; ++i)
        it.record_failure(now);
    CHECK(it.is_failing(now + 999ms));
    CHECK_FALSE(it.is_failing(now + 1s));
}
