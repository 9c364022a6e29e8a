#pragma once

#include "ibisdyke/configuration/messages.h"

#include <map>
#include <set>
#include <string>

namespace ibisdyke::configuration {

/// The configuration made by operators. Part of the replicated state; changed only by commands from the log.
struct configuration_state {
    /// By name.
    std::map<std::string, profile> profiles;
    std::map<core::service_id, service> services;
    /// A failure domain without an entry is in service.
    std::map<core::failure_domain, domain> domains;
    /// By digest.
    std::map<std::string, token> tokens;
    /// The routes of the current plan and the routes that were withdrawn most recently, by address.
    std::map<service_address, route> routes;
    plan_summary plan;
    /// Upstreams that operators drain. Only the leader reads this; balancers and agents get the state of the upstream.
    std::set<core::upstream_id> drained_upstreams;

    friend bool operator==(const configuration_state&, const configuration_state&) = default;
};

} // namespace ibisdyke::configuration
