#pragma once

#include "ibisdyke/configuration/route_plan.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ibisdyke::configuration {

enum class plan_change_kind : std::uint8_t {
    route_added,
    route_removed,
    route_renamed,
    /// A service became a target of the route or no longer is one.
    targets_changed,
    /// The route has the same targets with other weights or in another order.
    weights_changed,
    request_timeout_changed,
    latency_target_changed,
    priority_changed,
    service_added,
    service_withdrawn,
    cold_start_changed,
    idle_timeout_changed,
};

/// What a change does to flows.
enum class flow_effect : std::uint8_t {
    none,
    /// Applies to new flows; open flows stay where they are.
    new_flows,
    /// New flows go to the new targets; open flows continue at the former ones.
    kept_by_former_targets,
    /// Open flows may be discarded after another idle time.
    idle_flows,
    /// Open flows are ended.
    ended,
};

/// A difference between two route plans.
struct plan_change {
    plan_change_kind kind = plan_change_kind::route_added;
    /// Name of the route or service; empty for a limit of the plan.
    std::string name;
    /// Public address of the route; empty if the change is not that of a route.
    std::string address;
    /// The values, with their units. Empty where there is none.
    std::string before;
    std::string after;

    friend bool operator==(const plan_change&, const plan_change&) = default;
};

/// Returns the changes that `next` makes to `in_force`. Routes are compared by address and services by name; the order
/// of routes, the order of services and the revision are not compared. A route with another address is a removed and an
/// added route.
std::vector<plan_change> diff(const route_plan& in_force, const route_plan& next);

flow_effect effect_of(plan_change_kind kind);

/// Return the name of the value, for example "route_added".
std::string_view to_string(plan_change_kind it);
std::string_view to_string(flow_effect it);

} // namespace ibisdyke::configuration
