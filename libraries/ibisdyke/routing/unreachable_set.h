#pragma once

#include "ibisdyke/core/ids.h"

#include <set>

namespace ibisdyke::routing {

/// The upstreams whose agents a balancer currently cannot reach.
using unreachable_set = std::set<core::upstream_id>;

} // namespace ibisdyke::routing
