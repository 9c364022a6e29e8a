#include "ibisdyke/core/error.h"
#include "ibisdyke/settings/settings_parser.h"

#include <catch2/catch.hpp>

#include <array>
#include <cstdlib>

using namespace ibisdyke;

namespace {

settings::settings_parser& declare_settings(settings::settings_parser& parser)
{
    parser.add_number("test-slots", "Slots", 5, 1, 100);
    parser.add_endpoints("test-peers", "Peers", settings::presence::optional);
    parser.add_choice("test-mode", "Mode", {"first", "second"});
    return parser;
}

} // namespace

TEST_CASE("a flag takes precedence over its environment variable")
{
    settings::settings_parser parser("test", "Test");
    declare_settings(parser);
    setenv("IBISDYKE_TEST_SLOTS", "7", 1);
    const std::array<const char*, 1> none{"test"};
    const std::array<const char*, 2> flag{"test", "--test-slots=9"};
    CHECK(parser.parse(1, none.data())->number("test-slots") == 7);
    CHECK(parser.parse(2, flag.data())->number("test-slots") == 9);
    unsetenv("IBISDYKE_TEST_SLOTS");
    CHECK(parser.parse(1, none.data())->number("test-slots") == 5);
}

// A process that starts with an invalid setting fails later, when the setting is used.
TEST_CASE("a value out of range is refused with the flag, the value and the allowed range")
{
    settings::settings_parser parser("test", "Test");
    declare_settings(parser);
    const std::array<const char*, 2> flag{"test", "--test-slots=0"};
    CHECK_THROWS_WITH(parser.parse(2, flag.data()),
        Catch::Contains("--test-slots") && Catch::Contains("\"0\"") && Catch::Contains("1 to 100"));
}

// A misspelt choice must not silently select the default.
TEST_CASE("a choice accepts only its names, and the first name is the default")
{
    settings::settings_parser parser("test", "Test");
    declare_settings(parser);
    const std::array<const char*, 1> none{"test"};
    const std::array<const char*, 2> second{"test", "--test-mode=second"};
    const std::array<const char*, 2> third{"test", "--test-mode=third"};
    CHECK(parser.parse(1, none.data())->text("test-mode") == "first");
    CHECK(parser.parse(2, second.data())->text("test-mode") == "second");
    CHECK_THROWS_WITH(parser.parse(2, third.data()),
        Catch::Contains("--test-mode") && Catch::Contains("third") && Catch::Contains("first second"));
}

TEST_CASE("an unknown flag is refused")
{
    settings::settings_parser parser("test", "Test");
    declare_settings(parser);
    const std::array<const char*, 2> flag{"test", "--no-such-flag=1"};
    CHECK_THROWS_AS(parser.parse(2, flag.data()), core::invalid_input);
}

TEST_CASE("a list of endpoints is split at commas")
{
    settings::settings_parser parser("test", "Test");
    declare_settings(parser);
    const std::array<const char*, 2> flag{"test", "--test-peers=127.0.0.1:1,127.0.0.2:2"};
    CHECK(parser.parse(2, flag.data())->endpoints("test-peers").size() == 2);
}
