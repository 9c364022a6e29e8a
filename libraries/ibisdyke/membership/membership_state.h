#pragma once

#include "ibisdyke/membership/messages.h"

#include <map>
#include <string>

namespace ibisdyke::membership {

/// The part of the replicated state that records upstreams, relays and control processes.
struct membership_state {
    std::map<core::upstream_id, upstream> upstreams;
    /// Relays are balancers that serve subscriptions: their peer endpoints by process name.
    std::map<std::string, core::endpoint> relays;
    /// Peer endpoints of the members of the control group.
    std::map<core::control_id, core::endpoint> controls;

    friend bool operator==(const membership_state&, const membership_state&) = default;
};

} // namespace ibisdyke::membership
