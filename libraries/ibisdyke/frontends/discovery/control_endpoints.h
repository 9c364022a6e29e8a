#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/frontends/discovery/heartbeat_sender.h"
#include "ibisdyke/frontends/discovery/state_subscriber.h"
#include "ibisdyke/membership/membership_state.h"

#include <utility>
#include <vector>

namespace ibisdyke::frontends {

/// Combines the two lists of control processes that an agent or balancer has: the endpoints in its settings and the
/// group members in the system state. Either list may be outdated: the settings after all processes in them have been
/// replaced, and the system state after a long time without a subscription.
///
/// Passes the combined list to the heartbeat sender and the state subscriber whenever it changes.
class control_endpoints {
public:
    control_endpoints(
        std::vector<core::endpoint> configured, heartbeat_sender& heartbeats, state_subscriber& subscriber)
        : configured_(std::move(configured))
        , heartbeats_(heartbeats)
        , subscriber_(subscriber)
    {
    }

    /// Replaces the endpoints from the settings.
    void set_configured(std::vector<core::endpoint> configured);
    /// Replaces the group members by those of `state`.
    void set_members(const membership::membership_state& state);

private:
    void apply_endpoints();

    std::vector<core::endpoint> configured_;
    std::vector<core::endpoint> members_;
    std::vector<core::endpoint> endpoints_;
    heartbeat_sender& heartbeats_;
    state_subscriber& subscriber_;
};

} // namespace ibisdyke::frontends
