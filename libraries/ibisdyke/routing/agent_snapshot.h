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

/// How many new flows an agent may take now. Decided by admission control.
struct flow_admission_limits {
    /// False while the upstream starts or drains.
    bool accepts_new_flows = true;
    /// Rate at which new flows may begin; low in a cold start.
    double new_flows_per_second = std::numeric_limits<double>::infinity();
    /// New flows that may begin at once after a pause.
    double burst = std::numeric_limits<double>::infinity();
    /// Requests that the upstream serves at the same time; 0 when its work is not known.
    std::uint32_t slots = 0;
    /// Hard bound of the open flows.
    std::size_t max_open_flows = std::numeric_limits<std::size_t>::max();
    /// Mean count of open flows over the active upstreams of the service, from the last heartbeat answer.
    double mean_open_flows = 0;

    friend bool operator==(const flow_admission_limits&, const flow_admission_limits&) = default;
};

/// What an agent's packet thread knows of the world. Immutable; published by the control thread.
struct agent_snapshot {
    core::upstream_id self;
    core::service_id service;
    /// The incarnation of the upstream beside the agent; 0 where upstreams do not announce one.
    core::incarnation upstream;
    /// The version of the system state that the agent has applied.
    core::version applied;
    /// The members of the agent's service; null before the first table.
    std::shared_ptr<const service_chains> members;
    /// All services and routes; null when flows are known by the addresses of the agent's service alone.
    std::shared_ptr<const routing_table> table;
    /// Whether operators have taken the agent's failure domain out of service.
    bool domain_out = false;
    /// Until then the table is known to be the newest, or newer by less than it takes to spread a change: a control
    /// process in touch with the leader has vouched for it.
    core::time_point table_current_until{};
    /// The agent has lost its flow table in a restart and adopts flows until then.
    core::time_point recovering_until{};
    /// The upstream returns packets of flows that it does not hold. An agent that has lost its flow table then asks
    /// the upstream instead of guessing which flows are its own.
    bool upstream_returns_packets = false;
    flow_admission_limits admission;

    friend bool operator==(const agent_snapshot&, const agent_snapshot&) = default;
};

} // namespace ibisdyke::routing
