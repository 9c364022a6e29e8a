#pragma once

#include "ibisdyke/core/ids.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/core/version.h"
#include "ibisdyke/routing/routing_table.h"
#include "ibisdyke/routing/service_chains.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>

namespace ibisdyke::routing {

/// The new flows that an agent may take at present. Set by admission control.
struct flow_admission_limits {
    /// False while the upstream starts or drains.
    bool accepts_new_flows = true;
    /// Maximum rate of new flows; low during a cold start.
    double new_flows_per_second = std::numeric_limits<double>::infinity();
    /// Maximum number of new flows that may begin at once.
    double burst = std::numeric_limits<double>::infinity();
    /// Number of requests that the upstream serves at the same time; 0 when it is unknown.
    std::uint32_t slots = 0;
    /// Whether the pace of new flows after a start follows the upstream's responses.
    bool paces_starts = false;
    /// Maximum number of open flows.
    std::size_t max_open_flows = std::numeric_limits<std::size_t>::max();
    /// Mean number of open flows over the active upstreams of the service, from the last heartbeat response.
    double mean_open_flows = 0;

    friend bool operator==(const flow_admission_limits&, const flow_admission_limits&) = default;
};

/// The control state that an agent's packet thread uses. Immutable; published by the control thread.
struct agent_snapshot {
    core::upstream_id self;
    core::service_id service;
    /// The incarnation of the agent's upstream; 0 if upstreams do not announce one.
    core::incarnation upstream_incarnation;
    /// The version of the system state that the agent has applied.
    core::version applied;
    /// The members of the agent's service; null before the first table.
    std::shared_ptr<const service_chains> members;
    /// All services and routes. If null, the agent accepts packets by the addresses of its own service alone.
    std::shared_ptr<const routing_table> table;
    /// Whether operators have taken the agent's failure domain out of service.
    bool domain_out_of_service = false;
    /// Until this time the table is known to be the newest or to lack only changes that are still spreading, because a
    /// control process in contact with the leader has confirmed it.
    core::time_point table_current_until{};
    /// End of the recovery window, in which an agent that has lost its flow table in a restart adopts unknown flows.
    core::time_point recovering_until{};
    /// Whether the upstream returns packets of flows that it does not hold. An agent that has lost its flow table then
    /// learns from the upstream which flows it holds and need not guess.
    bool upstream_returns_packets = false;
    flow_admission_limits admission;

    friend bool operator==(const agent_snapshot&, const agent_snapshot&) = default;
};

} // namespace ibisdyke::routing
