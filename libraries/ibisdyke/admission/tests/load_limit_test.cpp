#include "ibisdyke/admission/load_limit.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace ibisdyke;
using namespace std::chrono_literals;

namespace {

const core::time_point start{1'000s};

admission::admission_settings settings_with_ten_slots()
{
    admission::admission_settings it;
    it.slots = 10;
    it.cold_start_share = 0.1;
    it.cold_start_ramp = 10s;
    return it;
}

} // namespace

TEST_CASE("the limit of a cold start ramps linearly from its share to all slots")
{
    admission::load_limit limit(settings_with_ten_slots());
    CHECK(limit.current(start) == 10);
    limit.begin_cold_start(start);
    CHECK(limit.current(start) == 1);
    CHECK(limit.current(start + 5s) == 5);
    CHECK(limit.current(start + 9s) == 9);
    CHECK(limit.current(start + 10s) == 10);
    CHECK(!limit.in_cold_start(start + 10s));
}

// With few slots, the share of a cold start rounds down to 0 slots. The upstream could then never start a request.
TEST_CASE("the limit is at least one request")
{
    auto settings = settings_with_ten_slots();
    settings.slots = 2;
    settings.cold_start_share = 0;
    admission::load_limit limit(settings);
    limit.begin_cold_start(start);
    CHECK(limit.current(start) == 1);
}

TEST_CASE("new flows per second ramp with the cold start and are unlimited afterwards")
{
    auto settings = settings_with_ten_slots();
    settings.full_flows_per_second = 200;
    admission::load_limit limit(settings);
    limit.begin_cold_start(start);
    CHECK(limit.flows_per_second(start) == Approx(20));
    CHECK(limit.flows_per_second(start + 5s) == Approx(110));
    CHECK(std::isinf(limit.flows_per_second(start + 10s)));
}

// An upstream that becomes cold again without announcing it would fail under full load.
TEST_CASE("refusals, lost connections and slow answers begin a cold start")
{
    admission::load_limit limit(settings_with_ten_slots());
    SECTION("a refusal")
    {
        limit.on_finish(admission::work_outcome::refused, 10, start);
    }
    SECTION("a lost connection")
    {
        limit.on_finish(admission::work_outcome::connection_lost, 10, start);
    }
    SECTION("answers above four times the moving median")
    {
        for (int i = 0; i < 20; ++i)
            limit.on_answer(10ms, start);
        for (int i = 0; i < 3; ++i)
            limit.on_answer(50ms, start);
    }
    CHECK(limit.in_cold_start(start));
    CHECK(limit.current(start) == 1);
}

// A large document, a caller's cancellation or a failed request must not be mistaken for a cold start.
TEST_CASE("single slow answers and failures of requests begin no cold start")
{
    admission::load_limit limit(settings_with_ten_slots());
    for (int i = 0; i < 20; ++i)
        limit.on_answer(10ms, start);
    limit.on_answer(900ms, start);
    limit.on_answer(10ms, start);
    limit.on_answer(39ms, start);
    limit.on_finish(admission::work_outcome::cancelled, 10, start);
    limit.on_finish(admission::work_outcome::failed, 10, start);
    CHECK(!limit.in_cold_start(start));
    CHECK(limit.current(start) == 10);
}

// Scheduling delays of a busy VM must not put an upstream into cold start whose answers take less than 1 ms.
TEST_CASE("latencies within the scheduling delays of a busy VM begin no cold start")
{
    admission::load_limit limit(settings_with_ten_slots());
    for (int i = 0; i < 20; ++i)
        limit.on_answer(1ms, start);
    for (int i = 0; i < 5; ++i)
        limit.on_answer(15ms, start);
    CHECK(!limit.in_cold_start(start));
}

// An upstream that has become permanently slower must not stay in cold start for ever.
TEST_CASE("the moving median follows an upstream that stays slow")
{
    admission::load_limit limit(settings_with_ten_slots());
    for (int i = 0; i < 64; ++i)
        limit.on_answer(10ms, start);
    for (int i = 0; i < 64; ++i)
        limit.on_answer(100ms, start);
    CHECK(limit.in_cold_start(start));
    for (int i = 0; i < 64; ++i)
        limit.on_answer(100ms, start + 10s);
    CHECK(!limit.in_cold_start(start + 20s));
}

// The ramp must not continue to rise when the upstream already refuses requests.
TEST_CASE("a refusal during the ramp halves the share and does not restart it")
{
    admission::load_limit limit(settings_with_ten_slots());
    limit.begin_cold_start(start);
    CHECK(limit.share(start + 8s) == Approx(0.82));
    limit.on_finish(admission::work_outcome::refused, 8, start + 8s);
    CHECK(limit.share(start + 8s) == Approx(0.41));
    CHECK(limit.in_cold_start(start + 14s));
    CHECK(!limit.in_cold_start(start + 15s));
}

// An upstream that announces more slots than it can serve would be overloaded without the adaptive limit.
TEST_CASE("the adaptive limit falls with refusals and recovers with answers")
{
    auto settings = settings_with_ten_slots();
    settings.cold_start_ramp = 1ms;
    admission::load_limit limit(settings);
    limit.on_finish(admission::work_outcome::refused, 10, start);
    CHECK(limit.current(start + 1s) == 7);
    limit.on_finish(admission::work_outcome::refused, 7, start + 1s);
    CHECK(limit.current(start + 2s) == 4);
    for (int i = 0; i < 50; ++i)
        limit.on_finish(admission::work_outcome::answered, 4, start + 3s);
    CHECK(limit.current(start + 3s) == 10);
}
