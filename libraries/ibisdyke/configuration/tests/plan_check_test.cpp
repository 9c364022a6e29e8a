#include "ibisdyke/configuration/plan_check.h"
#include "ibisdyke/configuration/plan_diff.h"
#include "ibisdyke/core/error.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace ibisdyke;
using namespace std::chrono_literals;
using namespace configuration;
using kind = plan_finding_kind;

namespace {

service_address at_port(std::uint16_t port)
{
    return {{0xc612'0001, port}, transport_protocol::tcp};
}

/// A plan without findings.
route_plan clean_plan()
{
    route_plan result;
    result.revision = 7;
    result.idle_timeout = 15s;
    result.services = {{"desk", {2s, 4}}, {"store", {}}};
    result.routes = {{"feed", at_port(443), {{"desk", 90}, {"store", 10}}, 1500ms, 400ms},
        {"pull", at_port(8443), {{"store", 1}}, 5s, 0ms}};
    return result;
}

/// Returns "KIND PATH" for each finding.
std::vector<std::string> summary(const std::vector<plan_finding>& findings)
{
    std::vector<std::string> result;
    result.reserve(findings.size());
    for (const auto& it : findings)
        result.push_back(std::string(to_string(it.kind)) + " " + it.path);
    return result;
}

std::vector<plan_change_kind> kinds(const std::vector<plan_change>& changes)
{
    std::vector<plan_change_kind> result;
    result.reserve(changes.size());
    for (const auto& it : changes)
        result.push_back(it.kind);
    return result;
}

using lines = std::vector<std::string>;

} // namespace

// A target without an effect is part of what the operator has sent, so a name in it that no service has is an error.
TEST_CASE("the targets that others take precedence over are checked")
{
    auto plan = clean_plan();
    plan.routes[1].overridden_targets = {{"desk", 0}, {"store", 5}};
    CHECK_NOTHROW(validate(plan));
    CHECK(summary(check_plan(plan)) == lines{"overridden_targets routes[1].overridden_targets"});
    plan.routes[1].overridden_targets.push_back({"dseck", 1});
    CHECK_THROWS_AS(validate(plan), core::invalid_input);
    CHECK(summary(check_plan(plan))
        == lines{"unknown_service routes[1].overridden_targets", "overridden_targets routes[1].overridden_targets"});
}

// validate() stops at the first error, so that an operator would have to send a plan once for each of its errors.
TEST_CASE("a check of a route plan reports all of its errors")
{
    CHECK(check_plan(clean_plan()).empty());
    auto plan = clean_plan();
    plan.revision = 0;
    plan.services.push_back({"desk", {}});
    plan.services.push_back({"a b", {}});
    plan.routes[0].targets = {{"nobody", 1}, {"desk", 1}, {"store", 1}, {"no one", 1}};
    plan.routes[1].address = at_port(443);
    plan.routes[1].request_timeout = 0ms;
    plan.routes[1].latency_target = 100ms;
    plan.routes[1].targets[0].weight = 0;
    const auto found = check_plan(plan);
    CHECK(summary(found)
        == lines{"invalid_revision revision", "duplicate_service services[2].name",
            "invalid_service_name services[3].name", "unknown_service routes[0].targets",
            "unknown_service routes[0].targets", "duplicate_address routes[1].address",
            "invalid_request_timeout routes[1].request_timeout", "no_weight routes[1].targets",
            "unused_service services[3].name"});
    CHECK(found[5]
        == plan_finding{kind::duplicate_address, "routes[1].address", "pull", "198.18.0.1:443",
            "an address that route \"feed\" does not have"});
    CHECK(has_errors(found));
}

// An entry without an effect is usually a mistake, and nothing else tells the operator about it.
TEST_CASE("a check of a route plan reports entries without an effect")
{
    auto plan = clean_plan();
    plan.routes[0].targets = {{"desk", 1}, {"store", 0}, {"desk", 2}};
    plan.services.push_back({"spare", {}});
    auto found = check_plan(plan);
    CHECK(summary(found)
        == lines{"zero_weight routes[0].targets[1].weight", "duplicate_target routes[0].targets[2].service",
            "unused_service services[2].name"});
    CHECK_FALSE(has_errors(found));
    plan.routes.clear();
    plan.services.clear();
    CHECK(summary(check_plan(plan)) == lines{"no_routes routes"});
}

// With the limits in this relation one of them decides alone and the other is never reached.
TEST_CASE("a check of a route plan reports limits that contradict each other")
{
    auto plan = clean_plan();
    plan.routes[0].latency_target = 1501ms;
    plan.idle_timeout = 4999ms;
    plan.services = {{"desk", {2s, 0}}, {"store", {0s, 4.5}}};
    const auto found = check_plan(plan);
    CHECK(summary(found)
        == lines{"latency_target_above_timeout routes[0].latency_target",
            "idle_timeout_below_request_timeout routes[1].request_timeout",
            "cold_start_without_rate services[0].cold_start.flows_per_second",
            "cold_start_rate_without_duration services[1].cold_start.duration"});
    CHECK(found[0].value == "1501 ms");
    CHECK(found[0].expected == "at most the request timeout of 1500 ms");
    CHECK(found[3].expected == "a time above 0 for the rate of 4.5 flows/s");
    CHECK_FALSE(has_errors(found));
}

// A priority decides only about flows that would wait for a slot within their latency target.
TEST_CASE("a check of a route plan reports a priority without a latency target")
{
    auto plan = clean_plan();
    plan.routes[0].priority = 1;
    CHECK(summary(check_plan(plan)) == lines{"priority_without_latency_target routes[1].priority"});
    plan.routes[1].priority = 1;
    CHECK(check_plan(plan).empty());
    plan.routes[1].priority = 2;
    plan.routes[1].latency_target = 500ms;
    CHECK(check_plan(plan).empty());
    CHECK(kinds(diff(clean_plan(), plan))
        == std::vector{plan_change_kind::priority_changed, plan_change_kind::latency_target_changed,
            plan_change_kind::priority_changed});
    CHECK(effect_of(plan_change_kind::priority_changed) == flow_effect::new_flows);
}

// Limits that are equal or not set do not contradict each other.
TEST_CASE("a check of a route plan accepts limits at their bounds")
{
    auto plan = clean_plan();
    plan.routes[0].latency_target = plan.routes[0].request_timeout;
    plan.idle_timeout = 5s;
    CHECK(check_plan(plan).empty());
    plan.idle_timeout = 0ms;
    CHECK(check_plan(plan).empty());
}

// The control group acknowledges a plan whose revision is not above the one in force, although it changes nothing.
TEST_CASE("a check of a route plan reports a revision that does not take effect")
{
    const auto in_force = clean_plan();
    auto plan = clean_plan();
    CHECK(summary(check_plan(plan, in_force)) == lines{"already_in_force revision"});
    CHECK_FALSE(has_errors(check_plan(plan, in_force)));
    std::swap(plan.routes[0], plan.routes[1]);
    CHECK(summary(check_plan(plan, in_force)) == lines{"already_in_force revision"});
    std::swap(plan.services[0], plan.services[1]);
    CHECK(summary(check_plan(plan, in_force)) == lines{"already_in_force revision"});
    plan.routes[0].request_timeout = 6s;
    CHECK(summary(check_plan(plan, in_force)) == lines{"revision_conflict revision"});
    CHECK(has_errors(check_plan(plan, in_force)));
    plan.revision = 6;
    CHECK(summary(check_plan(plan, in_force)) == lines{"outdated_revision revision"});
    CHECK(has_errors(check_plan(plan, in_force)));
    plan.revision = 8;
    CHECK(check_plan(plan, in_force).empty());
}

// Operators decide by the effect on open flows whether a change can be sent now.
TEST_CASE("the difference of two route plans has each change and its effect on open flows")
{
    using change = plan_change_kind;
    const auto before = clean_plan();
    auto after = clean_plan();
    after.revision = 8;
    CHECK(diff(before, after).empty());

    after.routes[0].targets = {{"desk", 1}};
    CHECK(diff(before, after)
        == std::vector<plan_change>{
            {change::targets_changed, "feed", "198.18.0.1:443/tcp", "desk 90, store 10", "desk 1"}});
    CHECK(effect_of(change::targets_changed) == flow_effect::kept_by_former_targets);

    after.routes[0].targets = {{"desk", 80}, {"store", 20}};
    CHECK(kinds(diff(before, after)) == std::vector{change::weights_changed});
    CHECK(effect_of(change::weights_changed) == flow_effect::new_flows);

    after = clean_plan();
    after.routes[1] = {"bulk", at_port(8443), {{"store", 1}}, 6s, 100ms};
    CHECK(kinds(diff(before, after))
        == std::vector{change::route_renamed, change::request_timeout_changed, change::latency_target_changed});

    after = clean_plan();
    after.routes[1].address = at_port(9443);
    CHECK(diff(before, after)
        == std::vector<plan_change>{{change::route_removed, "pull", "198.18.0.1:8443/tcp", "store 1", ""},
            {change::route_added, "pull", "198.18.0.1:9443/tcp", "", "store 1"}});
    CHECK(effect_of(change::route_removed) == flow_effect::ended);

    after = clean_plan();
    after.services = {{"desk", {2s, 5}}, {"spare", {}}};
    after.idle_timeout = 10s;
    CHECK(diff(before, after)
        == std::vector<plan_change>{{change::service_withdrawn, "store", "", "0 ms, 0 flows/s", ""},
            {change::cold_start_changed, "desk", "", "2000 ms, 4 flows/s", "2000 ms, 5 flows/s"},
            {change::service_added, "spare", "", "", "0 ms, 0 flows/s"},
            {change::idle_timeout_changed, "", "", "15000 ms", "10000 ms"}});
    CHECK(effect_of(change::idle_timeout_changed) == flow_effect::idle_flows);
}
