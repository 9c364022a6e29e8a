#include "ibisdyke/routing/decision_names.h"

#include <catch2/catch.hpp>

#include <set>
#include <string_view>

using namespace ibisdyke::routing;

// A reason that is missing from packet_reasons has no counter, so the list must contain all values in order.
TEST_CASE("each packet reason has a distinct name")
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < packet_reasons.size(); ++i) {
        CHECK(static_cast<std::size_t>(packet_reasons[i]) == i);
        names.insert(to_string(packet_reasons[i]));
    }
    CHECK(names.size() == packet_reasons.size());
    CHECK(packet_reasons.back() == packet_reason::answer_limit);
}

TEST_CASE("each search phase has its name")
{
    CHECK(to_string(search_phase::find) == "find");
    CHECK(to_string(search_phase::place) == "place");
    CHECK(to_string(search_phase::assign) == "assign");
}

// The names of the counted steps are part of counters' names.
TEST_CASE("each overflow step has its name")
{
    CHECK(to_string(overflow_step::none) == "none");
    CHECK(to_string(overflow_step::offered) == "offered");
    CHECK(to_string(overflow_step::taken) == "taken");
    CHECK(to_string(overflow_step::returned) == "returned");
}
