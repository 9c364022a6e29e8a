#pragma once

#include "ibisdyke/configuration/messages.h"

#include <map>
#include <set>
#include <string>

namespace ibisdyke::configuration {

/// Everything that operators decide. Part of the replicated state; changed only by commands from the log.
struct configuration_state {
    /// By name.
    std::map<std::string, profile> profiles;
    std::map<core::service_id, service> services;
    /// A failure domain without a record is in service.
    std::map<core::failure_domain, domain> domains;
    /// By digest.
    std::map<std::string, token> tokens;
    /// The routes of the plan in force and those that were withdrawn lately, by address.
    std::map<service_address, route> routes;
    plan_summary plan;
    /// Upstreams that operators want drained. Read by the leader only; what balancers and agents see is the upstream's
    /// state.
    std::set<core::upstream_id> drained_upstreams;

    friend bool operator==(const configuration_state&, const configuration_state&) = default;
};

} // namespace ibisdyke::configuration
