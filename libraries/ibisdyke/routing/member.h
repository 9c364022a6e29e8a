#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/ids.h"
#include "ibisdyke/core/version.h"
#include "ibisdyke/core/version_interval.h"
#include "ibisdyke/routing/chain.h"
#include "ibisdyke/routing/flow_key.h"

#include <string>
#include <vector>

namespace ibisdyke::routing {

/// The properties of an upstream that determine the chains of its service.
struct member {
    chain_member target;
    /// Whether the upstream may take new flows now.
    bool eligible = false;
    /// Whether the upstream may still hold flows. False when it is gone or its failure domain is out.
    bool reachable = true;
    /// The version intervals during which the upstream could take new flows, oldest first. Excludes the intervals
    /// during which its failure domain was out.
    std::vector<core::version_interval> history;
    /// The flow watermark of the upstream's agent: no open flow of the upstream began at an older version.
    core::version flow_watermark;
    /// The history is exact from this version on. Before it, the history may include versions at which the member could
    /// not take new flows.
    core::version exact_since;

    friend bool operator==(const member&, const member&) = default;
};

/// A public address at which callers reach a service.
struct public_address {
    core::endpoint address;
    ip_protocol protocol = ip_protocol::tcp;

    friend bool operator==(const public_address&, const public_address&) = default;
    friend auto operator<=>(const public_address&, const public_address&) = default;
};

/// The properties of a service that determine its chains.
struct service_members {
    core::service_id id;
    std::string name;
    std::vector<member> members;
    std::vector<public_address> addresses;

    friend bool operator==(const service_members&, const service_members&) = default;
};

} // namespace ibisdyke::routing
