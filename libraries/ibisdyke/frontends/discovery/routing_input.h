#pragma once

#include "ibisdyke/dissemination/system_state.h"
#include "ibisdyke/routing/flow_route.h"
#include "ibisdyke/routing/member.h"

#include <vector>

namespace ibisdyke::frontends {

/// Returns the services of the system state as routing sees them, by rising id. An upstream may take new flows when it
/// is active and its failure domain is in service; its history leaves out the intervals in which the domain was not. An
/// upstream that is gone, or whose domain is out, can no longer be reached. Of the others, chains leave out those whose
/// flow watermark has passed the versions at which they were candidates.
std::vector<routing::service_members> routing_input(const dissemination::system_state& state);

/// Returns the routes of the plan in force as routing sees them.
routing::route_set flow_routes(const configuration::configuration_state& configuration);

} // namespace ibisdyke::frontends
