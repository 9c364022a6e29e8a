#pragma once

#include "ibisdyke/core/ids.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/routing/member.h"

#include <cstdint>
#include <vector>

namespace ibisdyke::routing {

/// A service that takes new flows of a route, and its share of them relative to the other targets.
struct route_target {
    core::service_id service;
    std::uint32_t weight = 1;
    /// Index of the service in the services of the routing table, which fills it in.
    std::uint32_t index = 0;

    friend bool operator==(const route_target&, const route_target&) = default;
};

/// Where the flows to one public address go.
struct flow_route {
    public_address address;
    std::vector<route_target> targets;
    /// Services that the route named before and that may still hold flows of it.
    std::vector<core::service_id> former;
    /// Within what time requests are to be answered; 0 when the route has no such target.
    core::milliseconds latency_target{0};

    friend bool operator==(const flow_route&, const flow_route&) = default;
};

/// All routes beside the services' own addresses.
struct route_set {
    std::vector<flow_route> routes;
    /// Addresses that had a route until operators removed it: their open flows are to end.
    std::vector<public_address> withdrawn;

    friend bool operator==(const route_set&, const route_set&) = default;
};

} // namespace ibisdyke::routing
