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

// Two upstreams that join in one record must not get the same id.
TEST_CASE("the joins of a record get consecutive ids from its index")
{
    const auto state = apply({}, {{join_named("a"), join_named("b")}, {}, {}, {}, {}}, {1, 10});
    REQUIRE(state.upstreams.size() == 2);
    CHECK(state.upstreams.at(core::upstream_id(10'240)).name == "a");
    CHECK(state.upstreams.at(core::upstream_id(10'241)).name == "b");
    CHECK(first(state).state == upstream_state::active);
    CHECK(first(state).history == std::vector<core::version_interval>{{{1, 10}, std::nullopt}});
}

// A new leader may propose a join that the log of the lost leader already holds. The upstream must not be recorded
// twice.
TEST_CASE("a join that is in the log twice takes effect once")
{
    const auto state = apply(joined(), {{join_named("a")}, {}, {}, {}, {}}, {2, 12});
    CHECK(state == joined());
}

// An agent that was killed together with all control processes right after its upstream had joined took itself for the
// first process of the agent, because the first state that it got was older than the join. It looked for none of the
// flows of the process before it and rejected them.
TEST_CASE("a record tells whether an earlier process of the agent announced the upstream")
{
    auto state = joined();
    CHECK_FALSE(was_announced_earlier(first(state), core::incarnation(1)));
    CHECK(was_announced_earlier(first(state), core::incarnation(2)));
    // The leader may have recorded the second process before this process sees the record for the first time.
    auto update = update_to(upstream_state::active);
    update.agent = core::incarnation(2);
    state = updated(state, update, {1, 20});
    CHECK(was_announced_earlier(first(state), core::incarnation(2)));
    state = updated(state, update, {1, 30});
    CHECK(was_announced_earlier(first(state), core::incarnation(2)));
    // An agent whose lease ended meanwhile is still the same process.
    auto same = updated(joined(), update_to(upstream_state::gone), {1, 20});
    same = updated(same, update_to(upstream_state::active), {1, 30});
    CHECK_FALSE(was_announced_earlier(first(same), core::incarnation(1)));
}

TEST_CASE("eligibility history is closed and opened at the record's version")
{
    auto state = updated(joined(), update_to(upstream_state::draining), {1, 20});
    CHECK(first(state).history == std::vector<core::version_interval>{{{1, 10}, core::version{1, 20}}});
    state = updated(state, update_to(upstream_state::active), {1, 30});
    CHECK(first(state).history
        == std::vector<core::version_interval>{{{1, 10}, core::version{1, 20}}, {{1, 30}, std::nullopt}});
}

// A partition that makes an upstream suspect must not end its eligibility, or flows could not find it.
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

// Updates without a watermark and updates with an older watermark that are recorded late must not lower the recorded
// watermark. An older watermark would make a chain leave out the upstream of a flow, and a reset watermark would make
// the chain as long as before.
TEST_CASE("the recorded flow watermark never decreases")
{
    auto state = updated(joined(), update_to(upstream_state::active, {1, 15}), {1, 20});
    CHECK(first(state).flow_watermark == core::version{1, 15});
    state = updated(state, update_to(upstream_state::draining), {1, 21});
    state = updated(state, update_to(upstream_state::draining, {1, 14}), {1, 22});
    CHECK(first(state).flow_watermark == core::version{1, 15});
}

// The record of a flapping upstream must not grow without bound.
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
    // history_exact_since is the end of the newest gap between merged intervals.
    CHECK(first(state).history_exact_since > first(state).history.front().from);
    CHECK(first(state).history_exact_since < first(state).history.front().to);
}

// If each later record moved gone_at, the record would never be removed.
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

// If the record kept the former incarnation, an agent would ask a restarted upstream for flows that are lost.
TEST_CASE("the record holds the last announced incarnation of the upstream")
{
    auto joining = join_named("a");
    joining.incarnation = core::incarnation(100);
    const auto before = apply({}, {{joining}, {}, {}, {}, {}}, {1, 10});
    CHECK(first(before).incarnation == core::incarnation(100));
    auto restarted = update_to(upstream_state::active);
    restarted.incarnation = core::incarnation(200);
    CHECK(first(updated(before, restarted, {1, 11})).incarnation == core::incarnation(200));
}
