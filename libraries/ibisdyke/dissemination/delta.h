#pragma once

#include "ibisdyke/dissemination/system_state.h"

#include <map>
#include <string>
#include <vector>

namespace ibisdyke::dissemination {

/// The difference between two versions of the system state. Whole records replace earlier ones of the same key.
/// Operators' drains are left out: the leader turns them into the state of the upstream's record.
struct delta {
    core::version from;
    core::version to;
    std::vector<configuration::profile> profiles;
    std::vector<std::string> removed_profiles;
    std::vector<configuration::service> services;
    std::vector<core::service_id> removed_services;
    std::vector<configuration::domain> domains;
    std::vector<membership::upstream> upstreams;
    std::vector<core::upstream_id> removed_upstreams;
    std::vector<configuration::token> tokens;
    std::vector<std::string> removed_tokens;
    std::map<std::string, core::endpoint> relays;
    std::vector<std::string> removed_relays;
    std::map<core::control_id, core::endpoint> controls;
    std::vector<core::control_id> removed_controls;
    std::vector<configuration::route> routes;
    std::vector<configuration::service_address> removed_routes;
    /// Replaces the summary whole.
    configuration::plan_summary plan;

    friend bool operator==(const delta&, const delta&) = default;
};

/// Returns the delta that leads from `before` to `after`.
delta difference(const system_state& before, const system_state& after);

/// Returns the state after the delta, or null when the delta does not begin at the state's version or ends at one that
/// is not newer. A null result means: ask for a snapshot, never apply.
system_state_snapshot apply(const system_state& before, const delta& change);

/// Returns the delta with the effect of both, of which the second begins where the first ends.
delta merge(const delta& first, const delta& second);

} // namespace ibisdyke::dissemination
