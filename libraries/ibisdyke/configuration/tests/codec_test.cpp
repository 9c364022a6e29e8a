#include "ibisdyke/configuration/command_application.h"
#include "ibisdyke/configuration/wire/codec.h"
#include "ibisdyke/configuration/wire/json_codec.h"
#include "ibisdyke/core/error.h"

#include <QJsonArray>

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace ibisdyke::configuration;

namespace {

profile full_profile()
{
    profile result;
    result.name = "gold";
    result.revision = 3;
    result.cold_start_share = 0.25;
    result.cold_start_ramp = core::milliseconds(1234);
    result.neighbours = {{core::neighbour("riechwerk"), 3, 100, 20}};
    return result;
}

command full_command()
{
    service desk;
    desk.name = "desk";
    desk.profile = "gold";
    desk.owner = core::neighbour("riechwerk");
    desk.addresses = {{core::endpoint::create("10.0.0.1:443"), transport_protocol::udp}};
    const token owner{std::string(64, 'a'), core::neighbour("ops"), role::administer};
    return {core::command_id("id"), "author", core::wall_time(core::milliseconds(77)),
        {put_profile{full_profile(), 0}, put_service{desk}, put_token{owner},
            set_domain_state{core::failure_domain("z"), domain_state::out},
            set_upstream_drain{core::upstream_id(5), true}, remove_profile{"x", 4}, remove_service{"y"},
            remove_token{"t"}}};
}

} // namespace

TEST_CASE("a decoded command equals the encoded one")
{
    CHECK(wire::decode_command(wire::encode(full_command())) == full_command());
}

// A process that restores a snapshot must have the same state as the processes that applied the log.
TEST_CASE("a decoded state and history equal the encoded ones")
{
    auto it = full_command();
    it.changes.resize(5);
    const auto done = apply({}, it, {2, 9});
    REQUIRE(done.result.kind == outcome_kind::accepted);
    CHECK(wire::decode_configuration_state(wire::encode(done.state)) == done.state);
    const auto history = append_command({}, it, done.result, {}, done.state, {2, 9});
    CHECK(wire::decode_command_history(wire::encode(history)) == history);
}

TEST_CASE("bytes that are not a command are refused")
{
    CHECK_THROWS_AS(wire::decode_command("\xff\xff\xff"), core::malformed_message);
}

TEST_CASE("a profile read from its JSON document equals the profile")
{
    CHECK(wire::profile_from_json(wire::to_json(full_profile())) == full_profile());
}

// A misspelt field must not be silently ignored.
TEST_CASE("the error of the JSON reader has the path of the invalid field")
{
    const auto field_of = [](const QJsonObject& in) {
        try {
            wire::profile_from_json(in);
        } catch (const core::invalid_input& e) {
            return e.field();
        }
        return std::string();
    };
    CHECK(field_of({{"name", "gold"}, {"retry_budgett", 0.1}}) == "retry_budgett");
    CHECK(field_of({{"name", "gold"}, {"queue_per_slot", -1}}) == "queue_per_slot");
    CHECK(field_of({{"name", "gold"}, {"queue_per_slot", 1.5}}) == "queue_per_slot");
    CHECK(field_of({{"name", "gold"}, {"drain_limit_ms", "soon"}}) == "drain_limit_ms");
    CHECK(field_of({{"retry_budget", 0.1}}) == "name");
    CHECK(field_of({{"name", "gold"}, {"neighbours", QJsonArray{QJsonObject{{"name", "a"}, {"wait", 1}}}}})
        == "neighbours[0].wait");
}
