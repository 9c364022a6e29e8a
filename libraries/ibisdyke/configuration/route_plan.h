#pragma once

#include "ibisdyke/configuration/configuration_state.h"
#include "ibisdyke/configuration/text_patch.h"
#include "ibisdyke/core/version.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ibisdyke::configuration {

/// A service that a planned route names, and its share of the route's new flows relative to the other targets.
struct planned_target {
    std::string service;
    std::uint32_t weight = 1;

    friend bool operator==(const planned_target&, const planned_target&) = default;
};

/// The route of a public address as operators write it.
struct planned_route {
    std::string name;
    service_address address;
    std::vector<planned_target> targets;
    /// How long a request may take; never 0.
    core::milliseconds request_timeout{0};
    /// Within what time requests are to be answered; 0 when the route has no such target.
    core::milliseconds latency_target{0};

    friend bool operator==(const planned_route&, const planned_route&) = default;
};

/// A service as a plan names it.
struct planned_service {
    std::string name;
    cold_start_bound cold_start;

    friend bool operator==(const planned_service&, const planned_service&) = default;
};

/// All routes and their services in one document. Operators replace it whole; the highest revision is in force.
struct route_plan {
    std::uint64_t revision = 0;
    /// How long a flow may be idle before it may be forgotten.
    core::milliseconds idle_timeout{0};
    std::vector<planned_service> services;
    std::vector<planned_route> routes;

    friend bool operator==(const route_plan&, const route_plan&) = default;
};

/// What leads from the plan in force to another one. Holds what changed, because a plan may have hundreds of routes.
struct change_route_plan {
    /// The revision in force that the change was worked out for.
    std::uint64_t based_on = 0;
    std::uint64_t revision = 0;
    core::milliseconds idle_timeout{0};
    /// All services of the plan.
    std::vector<planned_service> services;
    /// Routes that are new or differ.
    std::vector<planned_route> routes;
    std::vector<service_address> removed;
    /// Leads from the document in force to the new one.
    text_patch document;

    friend bool operator==(const change_route_plan&, const change_route_plan&) = default;
};

/// The document of the plan in force, as operators sent it. Kept by control processes only.
struct plan_document {
    std::uint64_t revision = 0;
    std::string text;

    friend bool operator==(const plan_document&, const plan_document&) = default;
};

/// Throws core::invalid_input that names the field: a route with an unknown service, two routes of one address, weights
/// that are all 0, a request timeout of 0, a name that is not allowed.
void validate(const route_plan& it);

/// Returns what leads from the state's plan to `next`.
change_route_plan make_change(const configuration_state& state, const plan_document& present, const route_plan& next,
    const std::string& next_document);

/// Makes the change on the state. The change must be based on the state's revision; `at` is the version of its record.
void apply(configuration_state& state, const change_route_plan& change, const core::version& at);

} // namespace ibisdyke::configuration
