#pragma once

#include "ibisdyke/dissemination/system_state.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace ibisdyke::dissemination {

/// The difference between two versions of the system state. A changed record is contained whole and replaces the record
/// with the same key. The drains that operators request are not contained, because the leader sets the state of the
/// upstream accordingly.
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
    /// Replaces the whole summary. Contained in every delta.
    configuration::plan_summary plan;

    friend bool operator==(const delta&, const delta&) = default;
};

/// Returns the delta that turns `before` into `after`.
delta difference(const system_state& before, const system_state& after);

/// Returns the state after the delta. Returns null if the delta does not begin at the version of the state, or does not
/// end at a newer version; the caller then needs another delta or a snapshot.
system_state_snapshot apply(const system_state& before, const delta& change);

/// Returns an estimate of the memory that a delta holds, in bytes.
std::size_t memory_bytes(const delta& it);

/// Returns one delta with the effect of both. `second` must begin at the version at which `first` ends.
delta merge(const delta& first, const delta& second);

} // namespace ibisdyke::dissemination
