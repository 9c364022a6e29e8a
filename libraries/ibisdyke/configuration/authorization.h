#pragma once

#include "ibisdyke/configuration/messages.h"

namespace ibisdyke::configuration {

/// Returns whether a token gives access to a service: the token has the role `administer`, the service has no owner, or
/// the token's neighbour owns the service. The role of the token decides whether its holder may also drain upstreams.
bool has_access(const token& it, const service& requested);

} // namespace ibisdyke::configuration
