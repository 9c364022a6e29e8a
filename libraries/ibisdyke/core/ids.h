#pragma once

#include "ibisdyke/core/strong_type.h"

#include <cstdint>
#include <string>

namespace ibisdyke::core {

/// Identifies an upstream from its join on. Never reused. See make_upstream_id().
using upstream_id = strong_type<std::uint64_t, struct upstream_id_tag>;

/// Maximum number of upstreams that can join with one log record. Must never change, because upstream ids depend on it.
constexpr std::uint64_t joins_per_record = 1024;

/// Returns the id of the upstream at `position` in the join record with log index `record_index`. `position` must be
/// less than joins_per_record.
inline upstream_id make_upstream_id(std::uint64_t record_index, std::uint64_t position)
{
    return upstream_id(record_index * joins_per_record + position);
}

/// Returns the log index of the record with which the upstream joined.
inline std::uint64_t join_record_index(const upstream_id& id)
{
    return id.value() / joins_per_record;
}

/// Identifies a service by the log index of the record that created it. Never reused.
using service_id = strong_type<std::uint64_t, struct service_id_tag>;

/// A random number that a process chooses at its start. No two runs of a process have the same number.
using incarnation = strong_type<std::uint64_t, struct incarnation_tag>;

/// Identifies a control process within the control group. Set in the settings of the process; at least 1.
using control_id = strong_type<std::uint64_t, struct control_id_tag>;

/// The name of a failure domain, for example "zone-a".
using failure_domain = strong_type<std::string, struct failure_domain_tag>;

/// The name of a neighbour, an organisation whose requests share the upstreams with those of others.
using neighbour = strong_type<std::string, struct neighbour_tag>;

/// Identifies an operator's command, so that a resend of the command is recognised. Chosen by the operator's client.
using command_id = strong_type<std::string, struct command_id_tag>;

} // namespace ibisdyke::core
