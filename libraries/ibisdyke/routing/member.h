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

/// An upstream as routing sees it.
struct member {
    chain_member target;
    /// Whether it may take new flows now.
    bool eligible = false;
    /// Whether it may still hold flows (false once gone or in a failure domain that is out).
    bool reachable = true;
    /// When it could take new flows, oldest first, with the intervals removed in which its failure domain was out.
    std::vector<core::version_interval> history;
    /// No open flow of the upstream began at an older version (its agent's flow watermark).
    core::version flow_watermark;
    /// Before this version the history may also hold versions at which the member could not take new flows.
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

/// A service as routing sees it.
struct service_members {
    core::service_id id;
    std::string name;
    std::vector<member> members;
    std::vector<public_address> addresses;

    friend bool operator==(const service_members&, const service_members&) = default;
};

} // namespace ibisdyke::routing
