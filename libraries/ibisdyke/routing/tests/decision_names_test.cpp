#include "ibisdyke/routing/decision_names.h"

#include <catch2/catch.hpp>

#include <set>
#include <string_view>

using namespace ibisdyke::routing;

// Guards against a reason that is missing from logs and counters: packet_reasons must name every value up to the last.
TEST_CASE("every reason of a decision has a name of its own")
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < packet_reasons.size(); ++i) {
        CHECK(static_cast<std::size_t>(packet_reasons[i]) == i);
        names.insert(to_string(packet_reasons[i]));
    }
    CHECK(names.size() == packet_reasons.size());
    CHECK(packet_reasons.back() == packet_reason::answer_limit);
}

TEST_CASE("the phases of a search have names of their own")
{
    CHECK(to_string(search_phase::find) == "find");
    CHECK(to_string(search_phase::place) == "place");
    CHECK(to_string(search_phase::assign) == "assign");
}
