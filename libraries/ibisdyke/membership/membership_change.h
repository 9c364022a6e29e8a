#pragma once

#include "ibisdyke/core/version.h"
#include "ibisdyke/membership/membership_state.h"

#include <string>
#include <vector>

namespace ibisdyke::membership {

/// Adds an upstream that has no record yet. See apply() for its id.
struct join {
    core::service_id service;
    std::string name;
    core::failure_domain domain;
    core::endpoint packet_endpoint;
    core::endpoint request_endpoint;
    core::incarnation agent;
    std::uint32_t slots = 1;
    core::incarnation incarnation{};

    friend bool operator==(const join&, const join&) = default;
};

/// Replaces the mutable fields of a recorded upstream. Fields that did not change are repeated.
struct upstream_update {
    core::upstream_id id;
    upstream_state state = upstream_state::active;
    core::incarnation agent;
    core::endpoint packet_endpoint;
    core::endpoint request_endpoint;
    std::uint32_t slots = 1;
    core::incarnation incarnation{};
    /// Recorded if it is newer than the recorded watermark. Intervals of the eligibility history that end at or before
    /// it are pruned.
    core::version flow_watermark;
    /// The leader's wall-clock time when it proposed the change. Recorded as gone_at when the state becomes `gone`.
    core::wall_time proposed_at;

    friend bool operator==(const upstream_update&, const upstream_update&) = default;
};

/// A log record of the membership slice. All its parts take effect at the same version.
struct membership_change {
    std::vector<join> joins;
    std::vector<upstream_update> updates;
    /// Gone upstreams whose records are removed.
    std::vector<core::upstream_id> forgotten;
    std::map<std::string, core::endpoint> relays;
    std::vector<std::string> removed_relays;
    std::map<core::control_id, core::endpoint> controls;
    std::vector<core::control_id> removed_controls;

    friend bool operator==(const membership_change&, const membership_change&) = default;
};

/// Returns the state after the change, whose log record has version `at`. The n-th join of a record, counted from 0,
/// gets the id make_upstream_id(at.index, n), so that one record can join a whole failure domain. Unknown ids are
/// ignored.
membership_state apply(const membership_state& before, const membership_change& change, const core::version& at);

} // namespace ibisdyke::membership
