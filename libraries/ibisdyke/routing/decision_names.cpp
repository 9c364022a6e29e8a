#include "ibisdyke/routing/decision_names.h"

namespace ibisdyke::routing {

std::string_view to_string(packet_reason it)
{
    switch (it) {
    case packet_reason::none:
        return "none";
    case packet_reason::foreign:
        return "foreign";
    case packet_reason::too_many_hops:
        return "too_many_hops";
    case packet_reason::domain_out:
        return "domain_out";
    case packet_reason::unknown_flow:
        return "unknown_flow";
    case packet_reason::no_capacity:
        return "no_capacity";
    case packet_reason::table_full:
        return "table_full";
    case packet_reason::withdrawn:
        return "withdrawn";
    case packet_reason::overloaded:
        return "overloaded";
    case packet_reason::yields:
        return "yields";
    case packet_reason::lower_priority:
        return "lower_priority";
    case packet_reason::outdated:
        return "outdated";
    case packet_reason::answer_limit:
        break;
    }
    return "answer_limit";
}

std::string_view to_string(search_phase it)
{
    switch (it) {
    case search_phase::find:
        return "find";
    case search_phase::place:
        return "place";
    case search_phase::assign:
        break;
    }
    return "assign";
}

std::string_view to_string(overflow_step it)
{
    switch (it) {
    case overflow_step::none:
        return "none";
    case overflow_step::offered:
        return "offered";
    case overflow_step::taken:
        return "taken";
    case overflow_step::returned:
        break;
    }
    return "returned";
}

} // namespace ibisdyke::routing
