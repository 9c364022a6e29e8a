#pragma once

#include "ibisdyke/dissemination/system_state.h"
#include "ibisdyke/routing/flow_route.h"
#include "ibisdyke/routing/member.h"

#include <vector>

namespace ibisdyke::frontends {

/// Converts the services of the system state to the input of the routing table, in ascending order of their ids.
///
/// An upstream is eligible for new flows when it is active or suspect and its failure domain is in service. Its history
/// excludes the intervals in which the failure domain was not in service. An upstream that is gone or whose failure
/// domain is out is not reachable. Chains also omit a reachable upstream when its flow watermark has passed the
/// versions at which it was a candidate.
std::vector<routing::service_members> routing_input(const dissemination::system_state& state);

/// Converts the routes of the current route plan to the input of the routing table.
routing::route_set flow_routes(const configuration::configuration_state& configuration);

} // namespace ibisdyke::frontends
