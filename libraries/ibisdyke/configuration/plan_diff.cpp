#include "ibisdyke/configuration/plan_diff.h"

#include "ibisdyke/configuration/plan_text.h"

#include <array>
#include <map>
#include <set>

namespace ibisdyke::configuration {

namespace {

using changes = std::vector<plan_change>;
using kind = plan_change_kind;

/// A property of a route whose values are compared as text.
struct route_property {
    plan_change_kind kind;
    std::string (*text)(const planned_route&);
};

const std::array route_properties{
    route_property{kind::route_renamed, [](const planned_route& it) { return it.name; }},
    route_property{
        kind::request_timeout_changed, [](const planned_route& it) { return detail::time_text(it.request_timeout); }},
    route_property{
        kind::latency_target_changed, [](const planned_route& it) { return detail::time_text(it.latency_target); }},
    route_property{kind::priority_changed, [](const planned_route& it) { return std::to_string(it.priority); }},
};

std::string address_text(const service_address& it)
{
    return core::to_string(it.address) + (it.protocol == transport_protocol::udp ? "/udp" : "/tcp");
}

/// Returns for example "desk 90, store 10".
std::string targets_text(const planned_route& route)
{
    std::string result;
    for (const auto& it : route.targets)
        result += (result.empty() ? "" : ", ") + it.service + " " + std::to_string(it.weight);
    return result;
}

std::string cold_start_text(const cold_start_bound& it)
{
    return detail::time_text(it.duration) + ", " + detail::rate_text(it.flows_per_second);
}

std::set<std::string> target_names(const planned_route& route)
{
    std::set<std::string> result;
    for (const auto& it : route.targets)
        result.insert(it.service);
    return result;
}

void diff_route(const planned_route& before, const planned_route& after, changes& result)
{
    const auto address = address_text(after.address);
    if (before.targets != after.targets) {
        const bool same_services = target_names(before) == target_names(after);
        result.push_back({same_services ? kind::weights_changed : kind::targets_changed, after.name, address,
            targets_text(before), targets_text(after)});
    }
    for (const auto& it : route_properties) {
        if (it.text(before) != it.text(after))
            result.push_back({it.kind, after.name, address, it.text(before), it.text(after)});
    }
}

std::map<service_address, planned_route> routes_by_address(const route_plan& plan)
{
    std::map<service_address, planned_route> result;
    for (const auto& it : plan.routes)
        result.emplace(it.address, it);
    return result;
}

void diff_routes(const route_plan& in_force, const route_plan& next, changes& result)
{
    const auto before = routes_by_address(in_force);
    const auto after = routes_by_address(next);
    for (const auto& [address, it] : before) {
        if (!after.contains(address))
            result.push_back({kind::route_removed, it.name, address_text(address), targets_text(it), ""});
    }
    for (const auto& [address, it] : after) {
        const auto existing = before.find(address);
        if (existing == before.end())
            result.push_back({kind::route_added, it.name, address_text(address), "", targets_text(it)});
        else
            diff_route(existing->second, it, result);
    }
}

std::map<std::string, cold_start_bound> services_by_name(const route_plan& plan)
{
    std::map<std::string, cold_start_bound> result;
    for (const auto& it : plan.services)
        result.emplace(it.name, it.cold_start);
    return result;
}

void diff_services(const route_plan& in_force, const route_plan& next, changes& result)
{
    const auto before = services_by_name(in_force);
    const auto after = services_by_name(next);
    for (const auto& [name, it] : before) {
        if (!after.contains(name))
            result.push_back({kind::service_withdrawn, name, "", cold_start_text(it), ""});
    }
    for (const auto& [name, it] : after) {
        const auto existing = before.find(name);
        if (existing == before.end())
            result.push_back({kind::service_added, name, "", "", cold_start_text(it)});
        else if (existing->second != it)
            result.push_back(
                {kind::cold_start_changed, name, "", cold_start_text(existing->second), cold_start_text(it)});
    }
}

} // namespace

std::vector<plan_change> diff(const route_plan& in_force, const route_plan& next)
{
    changes result;
    diff_routes(in_force, next, result);
    diff_services(in_force, next, result);
    if (in_force.idle_timeout != next.idle_timeout)
        result.push_back({kind::idle_timeout_changed, "", "", detail::time_text(in_force.idle_timeout),
            detail::time_text(next.idle_timeout)});
    return result;
}

flow_effect effect_of(plan_change_kind kind)
{
    switch (kind) {
    case plan_change_kind::route_removed:
        return flow_effect::ended;
    case plan_change_kind::targets_changed:
    case plan_change_kind::service_withdrawn:
        return flow_effect::kept_by_former_targets;
    case plan_change_kind::route_added:
    case plan_change_kind::weights_changed:
    case plan_change_kind::latency_target_changed:
    case plan_change_kind::priority_changed:
    case plan_change_kind::cold_start_changed:
        return flow_effect::new_flows;
    case plan_change_kind::idle_timeout_changed:
        return flow_effect::idle_flows;
    case plan_change_kind::route_renamed:
    case plan_change_kind::request_timeout_changed:
    case plan_change_kind::service_added:
        break;
    }
    return flow_effect::none;
}

std::string_view to_string(plan_change_kind it)
{
    switch (it) {
    case plan_change_kind::route_added:
        return "route_added";
    case plan_change_kind::route_removed:
        return "route_removed";
    case plan_change_kind::route_renamed:
        return "route_renamed";
    case plan_change_kind::targets_changed:
        return "targets_changed";
    case plan_change_kind::weights_changed:
        return "weights_changed";
    case plan_change_kind::request_timeout_changed:
        return "request_timeout_changed";
    case plan_change_kind::latency_target_changed:
        return "latency_target_changed";
    case plan_change_kind::priority_changed:
        return "priority_changed";
    case plan_change_kind::service_added:
        return "service_added";
    case plan_change_kind::service_withdrawn:
        return "service_withdrawn";
    case plan_change_kind::cold_start_changed:
        return "cold_start_changed";
    case plan_change_kind::idle_timeout_changed:
        break;
    }
    return "idle_timeout_changed";
}

std::string_view to_string(flow_effect it)
{
    switch (it) {
    case flow_effect::new_flows:
        return "new_flows";
    case flow_effect::kept_by_former_targets:
        return "kept_by_former_targets";
    case flow_effect::idle_flows:
        return "idle_flows";
    case flow_effect::ended:
        return "ended";
    case flow_effect::none:
        break;
    }
    return "none";
}

} // namespace ibisdyke::configuration
