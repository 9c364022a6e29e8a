#pragma once

#include "ibisdyke/configuration/configuration_state.h"
#include "ibisdyke/configuration/plan_finding.h"
#include "ibisdyke/configuration/text_patch.h"
#include "ibisdyke/core/version.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace ibisdyke::configuration {

/// A target of a planned route: a service by its name, and its weight relative to the other targets.
struct planned_target {
    std::string service;
    std::uint32_t weight = 1;

    friend bool operator==(const planned_target&, const planned_target&) = default;
};

/// The route of a public address, as written by operators.
struct planned_route {
    std::string name;
    service_address address;
    std::vector<planned_target> targets;
    /// Longest duration of a request; never 0.
    core::milliseconds request_timeout{0};
    /// Time within which requests should be answered; 0 if the route has no such target.
    core::milliseconds latency_target{0};
    /// How urgent the flows are compared with those of the service's other routes; 0 is the highest priority.
    std::uint32_t priority = 0;
    /// Targets that the document gives in addition and that `targets` take precedence over. They are validated but have
    /// no effect, and the replicated log does not store them.
    std::vector<planned_target> overridden_targets = {};

    friend bool operator==(const planned_route&, const planned_route&) = default;
};

/// A service of a route plan.
struct planned_service {
    std::string name;
    cold_start_bound cold_start;

    friend bool operator==(const planned_service&, const planned_service&) = default;
};

/// All routes and their services in one document. Operators always replace the whole plan; the plan with the highest
/// revision takes effect.
struct route_plan {
    std::uint64_t revision = 0;
    /// Idle time after which the state of a flow may be discarded.
    core::milliseconds idle_timeout{0};
    std::vector<planned_service> services;
    std::vector<planned_route> routes;

    friend bool operator==(const route_plan&, const route_plan&) = default;
};

/// The change from the current plan to another one. Contains only the routes that differ, because a plan may have
/// hundreds of routes.
struct change_route_plan {
    /// Revision of the plan that the change was computed from.
    std::uint64_t based_on = 0;
    std::uint64_t revision = 0;
    core::milliseconds idle_timeout{0};
    /// All services of the plan.
    std::vector<planned_service> services;
    /// New and changed routes.
    std::vector<planned_route> routes;
    std::vector<service_address> removed;
    /// Turns the document of the current plan into the new document.
    text_patch document;

    friend bool operator==(const change_route_plan&, const change_route_plan&) = default;
};

/// The document of the current plan, as operators sent it. Only control processes store it.
struct plan_document {
    std::uint64_t revision = 0;
    std::string text;

    friend bool operator==(const plan_document&, const plan_document&) = default;
};

/// Returns an error for each value that is not allowed: the revision is 0, a service name is not allowed or not unique,
/// a target is not a service of the plan (also an overridden target), two routes have the same address, a request
/// timeout is 0, or all weights of a route are 0.
std::vector<plan_finding> find_errors(const route_plan& plan);

/// Throws core::invalid_input with the first of these errors.
void validate(const route_plan& it);

/// Returns the change from the current plan to `next`. `current` is the document of the current plan.
change_route_plan make_route_plan_change(const configuration_state& state, const plan_document& current,
    const route_plan& next, const std::string& next_document);

/// Applies a change, which must be based on the state's plan revision. `at` is the version of the change's log record.
void apply(configuration_state& state, const change_route_plan& change, const core::version& at);

/// Removes the services that no plan contains any more and that are not in `in_use`, also from the former targets of
/// routes. `in_use` are the services that have recorded upstreams.
void drop_unused_services(configuration_state& state, const std::set<core::service_id>& in_use);

} // namespace ibisdyke::configuration
