#include "ibisdyke/configuration/command_application.h"
#include "ibisdyke/configuration/command_history.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace ibisdyke::configuration;

namespace {

profile make_profile(const std::string& name)
{
    profile result;
    result.name = name;
    return result;
}

service make_service(const std::string& name, const std::string& profile_name, const std::string& address)
{
    service result;
    result.name = name;
    result.profile = profile_name;
    result.addresses = {{core::endpoint::create(address), transport_protocol::tcp}};
    return result;
}

token make_token(char digit, role assigned_role)
{
    return {std::string(64, digit), core::neighbour("operators"), assigned_role};
}

command make_command(const std::string& id, std::vector<change> changes)
{
    return {core::command_id(id), "operators", {}, std::move(changes)};
}

/// Applies commands one after the other, as they come from the log.
class configuration_fixture {
public:
    outcome run(std::vector<change> changes, const std::string& id = "c")
    {
        ++at_.index;
        const auto done = apply(state_, make_command(id, std::move(changes)), at_);
        state_ = done.state;
        return done.result;
    }

    configuration_state state_;
    core::version at_{1, 10};
};

} // namespace

TEST_CASE_METHOD(configuration_fixture, "an accepted edit raises the revision by one")
{
    CHECK(run({put_profile{make_profile("gold"), 0}}).kind == outcome_kind::accepted);
    CHECK(run({put_profile{make_profile("gold"), 1}}).kind == outcome_kind::accepted);
    CHECK(state_.profiles.at("gold").revision == 2);
}

// When two operators edit the same revision, the second edit must not overwrite the first.
TEST_CASE_METHOD(configuration_fixture, "of two edits based on the same revision only the first is accepted")
{
    run({put_profile{make_profile("gold"), 0}});
    auto first = make_profile("gold");
    first.queue_per_slot = 7;
    auto second = make_profile("gold");
    second.queue_per_slot = 9;
    CHECK(run({put_profile{first, 1}}).kind == outcome_kind::accepted);
    const auto conflict = run({put_profile{second, 1}});
    CHECK(conflict.kind == outcome_kind::conflict);
    CHECK(conflict.present_revision == 2);
    CHECK(state_.profiles.at("gold").queue_per_slot == 7);
}

// If one change of a command cannot be made, none of its changes may take effect.
TEST_CASE_METHOD(configuration_fixture, "no change of a command takes effect when one is refused")
{
    const auto before = state_;
    const auto result =
        run({put_profile{make_profile("gold"), 0}, put_service{make_service("desk", "none", "1.2.3.4:5")}});
    CHECK(result.kind == outcome_kind::rejected);
    CHECK(result.field == "profile");
    CHECK(state_ == before);
}

// If two services had the same address, packets would reach the upstreams of the wrong service.
TEST_CASE_METHOD(configuration_fixture, "an address belongs to one service only")
{
    run({put_profile{make_profile("gold"), 0}});
    CHECK(run({put_service{make_service("a", "gold", "10.0.0.1:443")}}).kind == outcome_kind::accepted);
    const auto result = run({put_service{make_service("b", "gold", "10.0.0.1:443")}});
    CHECK(result.kind == outcome_kind::rejected);
    CHECK(result.field == "addresses");
}

TEST_CASE_METHOD(
    configuration_fixture, "a service keeps its id when it is edited and gets a new id when it is created again")
{
    run({put_profile{make_profile("gold"), 0}});
    run({put_service{make_service("desk", "gold", "10.0.0.1:443")}});
    const auto id = state_.services.begin()->first;
    CHECK(id == core::service_id(at_.index));
    run({put_service{make_service("desk", "gold", "10.0.0.2:443")}});
    REQUIRE(state_.services.size() == 1);
    CHECK(state_.services.begin()->first == id);
    run({remove_service{"desk"}});
    run({put_service{make_service("desk", "gold", "10.0.0.1:443")}});
    CHECK(state_.services.begin()->first != id);
}

// A service must not refer to a profile that was removed.
TEST_CASE_METHOD(configuration_fixture, "a profile in use cannot be removed")
{
    run({put_profile{make_profile("gold"), 0}});
    run({put_service{make_service("desk", "gold", "10.0.0.1:443")}});
    CHECK(run({remove_profile{"gold", 1}}).kind == outcome_kind::rejected);
    run({remove_service{"desk"}});
    CHECK(run({remove_profile{"gold", 1}}).kind == outcome_kind::accepted);
}

// After a failure domain was out of service, the recorded intervals determine which upstreams accepted flows meanwhile.
// Without them, open flows would not be found.
TEST_CASE_METHOD(configuration_fixture, "a failure domain keeps the intervals in which it was in service")
{
    const core::failure_domain zone("zone-a");
    run({set_domain_state{zone, domain_state::out}});
    const auto out = at_;
    CHECK(state_.domains.at(zone).history == std::vector<core::version_interval>{{{}, out}});
    run({set_domain_state{zone, domain_state::out}});
    CHECK(state_.domains.at(zone).history == std::vector<core::version_interval>{{{}, out}});
    run({set_domain_state{zone, domain_state::in}});
    CHECK(state_.domains.at(zone).history == std::vector<core::version_interval>{{{}, out}, {at_, std::nullopt}});
}

// Without an administrator token, nobody could administer the control group any more.
TEST_CASE_METHOD(configuration_fixture, "the last administrator token cannot be removed or lose its role")
{
    run({put_token{make_token('a', role::administer)}});
    CHECK(run({remove_token{std::string(64, 'a')}}).kind == outcome_kind::rejected);
    CHECK(run({put_token{make_token('a', role::read)}}).kind == outcome_kind::rejected);
    run({put_token{make_token('b', role::administer)}});
    CHECK(run({remove_token{std::string(64, 'a')}}).kind == outcome_kind::accepted);
}

TEST_CASE_METHOD(configuration_fixture, "an outcome contains the path of the invalid field")
{
    auto bad = make_profile("gold");
    bad.neighbours = {{core::neighbour("a"), 1, 0, 0}, {core::neighbour("b"), 0, 0, 0}};
    CHECK(run({put_profile{bad, 0}}).field == "neighbours[1].weight");
    bad = make_profile("gold");
    bad.retry_budget = 1.5;
    CHECK(run({put_profile{bad, 0}}).field == "retry_budget");
    bad = make_profile("two words");
    CHECK(run({put_profile{bad, 0}}).field == "name");
    bad = make_profile("gold");
    bad.cold_start_ramp = core::milliseconds(-1);
    CHECK(run({put_profile{bad, 0}}).field == "cold_start_ramp_ms");
}

TEST_CASE_METHOD(configuration_fixture, "the history records the author, the version and both values of a change")
{
    run({put_profile{make_profile("gold"), 0}});
    const auto before = state_;
    auto edited = make_profile("gold");
    edited.queue_per_slot = 9;
    const auto it = make_command("edit", {put_profile{edited, 1}});
    const auto done = apply(before, it, {1, 99});
    const auto history = append_command({}, it, done.result, before, done.state, {1, 99});
    REQUIRE(history.changes.size() == 1);
    const auto& entry = *history.changes.front();
    CHECK(entry.author == "operators");
    CHECK(entry.at == core::version{1, 99});
    CHECK(std::get<profile>(entry.before).queue_per_slot == 2);
    CHECK(std::get<profile>(entry.after).queue_per_slot == 9);
    REQUIRE(find_outcome(history, core::command_id("edit")) != nullptr);
    CHECK(*find_outcome(history, core::command_id("edit")) == done.result);
    CHECK(find_outcome(history, core::command_id("other")) == nullptr);
}

// The replicated state must not grow with the number of commands.
TEST_CASE("the history keeps only the newest records")
{
    command_history history;
    for (std::size_t i = 0; i < max_outcomes + 5; ++i)
        history = append_command(history, make_command(std::to_string(i), {}), {}, {}, {}, {1, i + 1});
    CHECK(history.outcomes.size() == max_outcomes);
    CHECK(find_outcome(history, core::command_id("4")) == nullptr);
    CHECK(find_outcome(history, core::command_id("5")) != nullptr);
}
