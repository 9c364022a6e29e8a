#include "ibisdyke/routing/priority_room.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using ibisdyke::core::time_point;
using ibisdyke::routing::priority_room;

// A lower priority must leave places to each higher one, but neither a free slot nor the first place in the queue,
// and only while there are such flows.
TEST_CASE("each lower priority may wait two thirds as long as the next higher one with recent flows")
{
    priority_room room;
    const time_point start{1h};
    CHECK(room.may_wait(3, {100ms, 100ms, 10ms}, start));
    for (const auto it : {3U, 1U, 2U})
        room.record_flow(it, start);
    CHECK(room.may_wait(1, {100ms, 100ms, 10ms}, start));
    CHECK(room.may_wait(2, {67ms, 100ms, 10ms}, start));
    CHECK_FALSE(room.may_wait(2, {68ms, 100ms, 10ms}, start));
    CHECK_FALSE(room.may_wait(3, {45ms, 100ms, 10ms}, start));
    CHECK(room.may_wait(3, {10ms, 10ms, 10ms}, start));
    room.record_flow(2, start + priority_room::max_age);
    CHECK(room.rank_of(3, start + priority_room::max_age + 1ms) == 1);
}
