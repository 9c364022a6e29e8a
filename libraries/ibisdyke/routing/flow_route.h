#pragma once

#include "ibisdyke/core/ids.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/routing/member.h"

#include <cstdint>
#include <vector>

namespace ibisdyke::routing {

/// A service that takes new flows of a route, and its weight relative to the other targets.
struct route_target {
    core::service_id service;
    std::uint32_t weight = 1;
    /// Index of the service in routing_table::services(). Set by the routing table.
    std::uint32_t index = 0;

    friend bool operator==(const route_target&, const route_target&) = default;
};

/// The services that take the flows to one public address.
struct flow_route {
    public_address address;
    std::vector<route_target> targets;
    /// Earlier targets of the route that may still hold its flows.
    std::vector<core::service_id> former_targets;
    /// Time within which requests should be answered; 0 when the route has no latency target.
    core::milliseconds latency_target{0};
    /// How urgent the flows are compared with others at the same upstream; 0 is the highest priority.
    std::uint32_t priority = 0;

    friend bool operator==(const flow_route&, const flow_route&) = default;
};

/// All routes, except those that follow from the services' own addresses.
struct route_set {
    std::vector<flow_route> routes;
    /// Addresses whose route operators have removed. Open flows to these addresses are ended.
    std::vector<public_address> withdrawn;

    friend bool operator==(const route_set&, const route_set&) = default;
};

} // namespace ibisdyke::routing
