#include "ibisdyke/configuration/plan_check.h"

#include "ibisdyke/configuration/plan_text.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace ibisdyke::configuration {

namespace {

using detail::field_path;
using detail::rate_text;
using detail::time_text;
using findings = std::vector<plan_finding>;
using kind = plan_finding_kind;

constexpr core::milliseconds unset{0};

bool takes_flows(const planned_route& route)
{
    return std::any_of(route.targets.begin(), route.targets.end(), [](const auto& it) { return it.weight > 0; });
}

void check_targets(const planned_route& route, std::size_t i, findings& result)
{
    const auto path = [i](std::size_t target, const char* field) {
        return field_path("routes", i, field_path("targets", target, field));
    };
    // Without any weight the route is invalid, which is reported once for the route.
    const bool weighted = takes_flows(route);
    std::set<std::string> seen;
    for (std::size_t n = 0; n < route.targets.size(); ++n) {
        const auto& target = route.targets[n];
        if (!seen.insert(target.service).second)
            result.push_back({kind::duplicate_target, path(n, "service"), route.name, target.service,
                "each service once, with the sum of its weights"});
        if (weighted && target.weight == 0)
            result.push_back({kind::zero_weight, path(n, "weight"), route.name, "0",
                "a weight above 0; service \"" + target.service + "\" gets no new flows from this target"});
    }
    if (!route.overridden_targets.empty())
        result.push_back({kind::overridden_targets, field_path("routes", i, "overridden_targets"), route.name,
            std::to_string(route.overridden_targets.size()) + " targets",
            "none; they have no effect, because all flows go to \"" + route.targets.front().service + "\""});
}

void check_times(const planned_route& route, std::size_t i, core::milliseconds idle_timeout, findings& result)
{
    // Validation reports a request timeout of 0.
    if (route.request_timeout <= unset)
        return;
    const auto timeout = time_text(route.request_timeout);
    if (route.latency_target > route.request_timeout)
        result.push_back({kind::latency_target_above_timeout, field_path("routes", i, "latency_target"), route.name,
            time_text(route.latency_target), "at most the request timeout of " + timeout});
    if (idle_timeout > unset && idle_timeout < route.request_timeout)
        result.push_back(
            {kind::idle_timeout_below_request_timeout, field_path("routes", i, "request_timeout"), route.name, timeout,
                "at most the idle timeout of " + time_text(idle_timeout)
                    + ", after which the flow of a running request may be discarded"});
}

/// Returns the priorities of the routes of each service that take new flows there.
std::map<std::string, std::set<std::uint32_t>> priorities_by_service(const route_plan& plan)
{
    std::map<std::string, std::set<std::uint32_t>> result;
    for (const auto& route : plan.routes) {
        for (const auto& it : route.targets) {
            if (it.weight > 0)
                result[it.service].insert(route.priority);
        }
    }
    return result;
}

/// Flows of a route without a latency target wait as long as it takes, whatever their priority.
void check_priorities(const route_plan& plan, findings& result)
{
    const auto priorities = priorities_by_service(plan);
    for (std::size_t i = 0; i < plan.routes.size(); ++i) {
        const auto& route = plan.routes[i];
        const bool competes = std::any_of(route.targets.begin(), route.targets.end(), [&priorities](const auto& it) {
            const auto service = priorities.find(it.service);
            return it.weight > 0 && service != priorities.end() && service->second.size() > 1;
        });
        if (competes && route.latency_target == unset)
            result.push_back({kind::priority_without_latency_target, field_path("routes", i, "priority"), route.name,
                std::to_string(route.priority), "a latency target, because the priority has no effect without one"});
    }
}

void check_routes(const route_plan& plan, findings& result)
{
    if (plan.routes.empty())
        result.push_back({kind::no_routes, "routes", "", "0 routes", "a route, because no address takes flows"});
    for (std::size_t i = 0; i < plan.routes.size(); ++i) {
        check_targets(plan.routes[i], i, result);
        check_times(plan.routes[i], i, plan.idle_timeout, result);
    }
    check_priorities(plan, result);
}

void check_cold_start(const planned_service& service, std::size_t i, findings& result)
{
    const auto& bound = service.cold_start;
    if (bound.duration > unset && bound.flows_per_second <= 0)
        result.push_back({kind::cold_start_without_rate, field_path("services", i, "cold_start.flows_per_second"),
            service.name, rate_text(bound.flows_per_second),
            "a rate above 0; without it, upstreams take new flows without a limit during their cold start of "
                + time_text(bound.duration)});
    if (bound.duration <= unset && bound.flows_per_second > 0)
        result.push_back(
            {kind::cold_start_rate_without_duration, field_path("services", i, "cold_start.duration"), service.name,
                time_text(bound.duration), "a time above 0 for the rate of " + rate_text(bound.flows_per_second)});
}

void check_services(const route_plan& plan, findings& result)
{
    std::set<std::string> used;
    for (const auto& route : plan.routes) {
        for (const auto& it : route.targets)
            used.insert(it.service);
    }
    for (std::size_t i = 0; i < plan.services.size(); ++i) {
        const auto& service = plan.services[i];
        if (!used.contains(service.name))
            result.push_back({kind::unused_service, field_path("services", i, "name"), service.name, service.name,
                "a target of a route"});
        check_cold_start(service, i, result);
    }
}

/// Returns the plan without its revision, with routes and services in an order that depends only on their content.
route_plan normalized(route_plan plan)
{
    plan.revision = 0;
    std::stable_sort(
        plan.routes.begin(), plan.routes.end(), [](const auto& a, const auto& b) { return a.address < b.address; });
    std::stable_sort(
        plan.services.begin(), plan.services.end(), [](const auto& a, const auto& b) { return a.name < b.name; });
    return plan;
}

void check_revision(const route_plan& plan, const route_plan& in_force, findings& result)
{
    if (plan.revision > in_force.revision)
        return;
    const auto value = std::to_string(plan.revision);
    const auto expected = "above " + std::to_string(in_force.revision) + ", the revision in force; this plan ";
    if (plan.revision < in_force.revision)
        result.push_back({kind::outdated_revision, "revision", "", value, expected + "would change nothing"});
    else if (normalized(plan) != normalized(in_force))
        result.push_back(
            {kind::revision_conflict, "revision", "", value, expected + "has other content and would change nothing"});
    else
        result.push_back({kind::already_in_force, "revision", "", value, expected + "is in force already"});
}

} // namespace

std::vector<plan_finding> check_plan(const route_plan& plan)
{
    auto result = find_errors(plan);
    check_routes(plan, result);
    check_services(plan, result);
    return result;
}

std::vector<plan_finding> check_plan(const route_plan& plan, const route_plan& in_force)
{
    findings result;
    check_revision(plan, in_force, result);
    const auto others = check_plan(plan);
    result.insert(result.end(), others.begin(), others.end());
    return result;
}

bool has_errors(const std::vector<plan_finding>& findings)
{
    return std::any_of(findings.begin(), findings.end(),
        [](const auto& it) { return severity_of(it.kind) == finding_severity::error; });
}

} // namespace ibisdyke::configuration
