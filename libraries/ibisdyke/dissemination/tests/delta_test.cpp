#include "ibisdyke/dissemination/delta.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace ibisdyke::dissemination;

namespace {

membership::upstream upstream_with(std::uint64_t id, membership::upstream_state state)
{
    membership::upstream it;
    it.id = core::upstream_id(id);
    it.name = "host-" + std::to_string(id);
    it.state = state;
    return it;
}

system_state state_at(const core::version& at)
{
    system_state it;
    it.applied = at;
    it.configuration.profiles["standard"].name = "standard";
    it.configuration.services[core::service_id(1)].id = core::service_id(1);
    it.configuration.domains[core::failure_domain("zone-a")].name = core::failure_domain("zone-a");
    it.configuration.tokens["00"].digest = "00";
    for (std::uint64_t id = 1; id <= 5; ++id)
        it.membership.upstreams[core::upstream_id(id)] = upstream_with(id, membership::upstream_state::active);
    it.membership.relays = {{"balancer-1", {1, 7100}}, {"balancer-2", {2, 7100}}};
    return it;
}

/// A state in which a record of every kind was added, changed or removed.
system_state changed_state(const core::version& at)
{
    auto it = state_at(at);
    it.configuration.profiles["standard"].revision = 2;
    it.configuration.profiles["strict"].name = "strict";
    it.configuration.services.clear();
    it.configuration.services[core::service_id(2)].id = core::service_id(2);
    it.configuration.domains[core::failure_domain("zone-a")].state = configuration::domain_state::out;
    it.configuration.tokens.clear();
    it.configuration.tokens["11"].digest = "11";
    it.membership.upstreams.erase(core::upstream_id(1));
    it.membership.upstreams[core::upstream_id(3)].state = membership::upstream_state::gone;
    it.membership.upstreams[core::upstream_id(9)] = upstream_with(9, membership::upstream_state::active);
    it.membership.relays = {{"balancer-2", {3, 7100}}, {"balancer-3", {4, 7100}}};
    return it;
}

} // namespace

TEST_CASE("a delta turns one state into the other")
{
    const auto before = state_at({1, 5});
    const auto after = changed_state({1, 6});
    const auto change = difference(before, after);
    CHECK(change.upstreams.size() == 2);
    CHECK(change.removed_upstreams == std::vector{core::upstream_id(1)});
    const auto applied = apply(before, change);
    REQUIRE(applied);
    CHECK(*applied == after);
    const auto back = apply(after, difference(after, state_at({1, 7})));
    REQUIRE(back);
    CHECK(back->membership == before.membership);
}

TEST_CASE("a delta between equal states contains only their versions")
{
    auto after = state_at({1, 6});
    const auto change = difference(state_at({1, 5}), after);
    delta empty;
    empty.from = {1, 5};
    empty.to = {1, 6};
    CHECK(change == empty);
}

// The system state must not go back to an older version.
TEST_CASE("a delta that ends at a version that is not newer is never applied")
{
    const auto state = state_at({2, 5});
    CHECK(apply(state, difference(state, state_at({2, 5}))) == nullptr);
    CHECK(apply(state, difference(state, state_at({1, 900}))) == nullptr);
}

// A delta must not be applied after the one before it was lost, because the changes of the lost delta would be missing.
TEST_CASE("a delta that begins at another version is never applied")
{
    const auto change = difference(state_at({1, 6}), changed_state({1, 7}));
    CHECK(apply(state_at({1, 5}), change) == nullptr);
    CHECK(apply(state_at({1, 7}), change) == nullptr);
    CHECK(apply(state_at({2, 6}), change) == nullptr);
}

// A merged delta must neither restore an older record nor keep a removed one.
TEST_CASE("a merged delta has the effect of both")
{
    const auto first = state_at({1, 5});
    const auto second = changed_state({1, 6});
    const auto third = state_at({1, 7});
    const auto fourth = changed_state({1, 8});
    const auto there_and_back = merge(difference(first, second), difference(second, third));
    const auto all = merge(there_and_back, difference(third, fourth));
    const auto applied = apply(first, there_and_back);
    REQUIRE(applied);
    CHECK(*applied == third);
    const auto end = apply(first, all);
    REQUIRE(end);
    CHECK(*end == fourth);
}
