#include "ibisdyke/core/parse_number.h"
#include "ibisdyke/core/version.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;

// A malformed number from the network must not be parsed as a different number.
TEST_CASE("only a text of digits is a number")
{
    CHECK(core::parse_number("0") == 0U);
    CHECK(core::parse_number("18446744073709551615") == 18'446'744'073'709'551'615U);
    for (const auto* const text : {"", "-1", "+1", " 1", "1 ", "1x", "0x1", "18446744073709551616"})
        CHECK_FALSE(core::parse_number(text));
}

// The option --recover-alone once accepted a version without a dot, such as "3 5", as 3.5.
TEST_CASE("a version is a term, a dot and an index")
{
    CHECK(core::parse_version("3.120") == core::version{3, 120});
    CHECK(core::parse_version(to_string(core::version{7, 8})) == core::version{7, 8});
    for (const auto* const text : {"", ".", "3", "3.", ".5", "3 5", "3x.5", "3.5.6", "3.5x"})
        CHECK_FALSE(core::parse_version(text));
}
