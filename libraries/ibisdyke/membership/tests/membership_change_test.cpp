#include "ibisdyke/membership/membership_change.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace ibisdyke::membership;

namespace {

join join_named(const std::string& name)
{
    return {core::service_id(1), name, core::failure_domain("zone-a"), core::endpoint::create("10.0.0.1:7000"),
        core::endpoint::create("10.0.0.1:7001"), core::incarnation(1), 5};
}

upstream_update update_to(upstream_state state, const core::version& watermark = {})
{
    upstream_update result;
    result.id = core::upstream_id(10'240);
    result.state = state;
    result.agent = core::incarnation(1);
    result.flow_watermark = watermark;
    result.proposed_at = core::wall_time(core::milliseconds(5000));
    return result;
}

membership_state joined()
{
    return apply({}, {{join_named("a")}, {}, {}, {}, {}}, {1, 10});
}

membership_state updated(const membership_state& before, const upstream_update& it, const core::version& at)
{
    return apply(before, {{}, {it}, {}, {}, {}}, at);
}

const upstream& first(const membership_state& it)
{
    return it.upstreams.begin()->second;
}

} // namespace

// Guards against two upstreams of one record with the same id.
TEST_CASE("the joins of a record get consecutive ids from its index")
{
    const auto state = apply({}, {{join_named("a"), join_named("b")}, {}, {}, {}, {}}, {1, 10});
    REQUIRE(state.upstreams.size() == 2);
    CHECK(state.upstreams.at(core::upstream_id(10'240)).name == "a");
    CHECK(state.upstreams.at(core::upstream_id(10'241)).name == "b");
    CHECK(first(state).state == upstream_state::active);
    CHECK(first(state).history == std::vector<core::version_interval>{{{1, 10}, std::nullopt}});
}

// Guards against a second record of an upstream whose join was in the log of a leader that was lost.
TEST_CASE("a join that is in the log twice takes effect once")
{
    const auto state = apply(joined(), {{join_named("a")}, {}, {}, {}, {}}, {2, 12});
    CHECK(state == joined());
}

TEST_CASE("eligibility history is closed and opened at the record's version")
{
    auto state = updated(joined(), update_to(upstream_state::draining), {1, 20});
    CHECK(first(state).history == std::vector<core::version_interval>{{{1, 10}, core::version{1, 20}}});
    state = updated(state, update_to(upstream_state::active), {1, 30});
    CHECK(first(state).history
        == std::vector<core::version_interval>{{{1, 10}, core::version{1, 20}}, {{1, 30}, std::nullopt}});
}

// Guards against flows that cannot find their upstream because a partition made it a suspect.
TEST_CASE("a suspect upstream stays eligible")
{
    const auto state = updated(joined(), update_to(upstream_state::suspect), {1, 20});
    CHECK(first(state).history == std::vector<core::version_interval>{{{1, 10}, std::nullopt}});
}

TEST_CASE("history is pruned up to the watermark and no further")
{
    auto state = updated(joined(), update_to(upstream_state::draining), {1, 20});
    state = updated(state, update_to(upstream_state::active), {1, 30});
    CHECK(first(updated(state, update_to(upstream_state::active, {1, 19}), {1, 40})).history.size() == 2);
    const auto pruned = updated(state, update_to(upstream_state::active, {1, 20}), {1, 40});
    CHECK(first(pruned).history == std::vector<core::version_interval>{{{1, 30}, std::nullopt}});
}

// Guards against a chain that leaves out a flow's upstream because an older report was recorded late, and against one
// that is as long as before because updates without a watermark reset it.
TEST_CASE("the recorded flow watermark never decreases")
{
    auto state = updated(joined(), update_to(upstream_state::active, {1, 15}), {1, 20});
    CHECK(first(state).flow_watermark == core::version{1, 15});
    state = updated(state, update_to(upstream_state::draining), {1, 21});
    state = updated(state, update_to(upstream_state::draining, {1, 14}), {1, 22});
    CHECK(first(state).flow_watermark == core::version{1, 15});
}

// Guards against a record that grows without bound while an upstream flaps.
TEST_CASE("the history of a flapping upstream is bounded and still covers its first version")
{
    auto state = joined();
    std::uint64_t index = 11;
    for (int i = 0; i < 100; ++i) {
        state = updated(state, update_to(upstream_state::gone), {1, index++});
        state = updated(state, update_to(upstream_state::active), {1, index++});
    }
    CHECK(first(state).history.size() <= 32);
    CHECK(first(state).history.front().from == core::version{1, 10});
    CHECK_FALSE(first(state).history.back().to.has_value());
    // The end of the last gap between merged intervals.
    CHECK(first(state).exact_since > first(state).history.front().from);
    CHECK(first(state).exact_since < first(state).history.front().to);
}

// Guards against a gone_at that moves with each later record, which would keep the record for ever.
TEST_CASE("the time of the first gone record is kept until the upstream is back")
{
    auto state = updated(joined(), update_to(upstream_state::gone), {1, 20});
    auto later = update_to(upstream_state::gone);
    later.proposed_at = core::wall_time(core::milliseconds(9000));
    state = updated(state, later, {1, 21});
    CHECK(first(state).gone_at == core::wall_time(core::milliseconds(5000)));
    state = updated(state, update_to(upstream_state::active), {1, 22});
    CHECK_FALSE(first(state).gone_at.has_value());
}

TEST_CASE("unknown ids are ignored and forgotten records removed")
{
    auto unknown = update_to(upstream_state::gone);
    unknown.id = core::upstream_id(99);
    const auto state = updated(joined(), unknown, {1, 20});
    CHECK(state == joined());
    const auto forgotten = apply(state, {{}, {}, {core::upstream_id(10'240), core::upstream_id(99)}, {}, {}}, {1, 21});
    CHECK(forgotten.upstreams.empty());
}

TEST_CASE("relays are listed and removed")
{
    const auto endpoint = core::endpoint::create("10.0.0.9:7100");
    auto state = apply({}, {{}, {}, {}, {{"balancer-1", endpoint}, {"balancer-2", endpoint}}, {}}, {1, 5});
    state = apply(state, {{}, {}, {}, {}, {"balancer-1"}}, {1, 6});
    CHECK(state.relays == std::map<std::string, core::endpoint>{{"balancer-2", endpoint}});
}

// Guards against an agent that asks a restarted upstream for the flows that the earlier one held.
TEST_CASE("the record names the incarnation that the upstream has announced last")
{
    auto joining = join_named("a");
    joining.incarnation = core::incarnation(100);
    const auto before = apply({}, {{joining}, {}, {}, {}, {}}, {1, 10});
    CHECK(first(before).incarnation == core::incarnation(100));
    auto restarted = update_to(upstream_state::active);
    restarted.incarnation = core::incarnation(200);
    CHECK(first(updated(before, restarted, {1, 11})).incarnation == core::incarnation(200));
}
