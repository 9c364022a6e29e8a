#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/frontends/discovery/heartbeat_sender.h"
#include "ibisdyke/frontends/discovery/state_subscriber.h"
#include "ibisdyke/membership/membership_state.h"

#include <utility>
#include <vector>

namespace ibisdyke::frontends {

/// Where an agent or balancer finds the control group: the processes that its settings list, and the members that the
/// system state names. Either may be out of date: the settings after all their processes were replaced, the state after
/// a long time without any feed.
class control_endpoints {
public:
    control_endpoints(std::vector<core::endpoint> listed, heartbeat_sender& heartbeats, state_subscriber& subscriber)
        : configured_(std::move(listed))
        , heartbeats_(heartbeats)
        , subscriber_(subscriber)
    {
    }

    void set_configured(std::vector<core::endpoint> listed);
    void update(const membership::membership_state& state);

private:
    void publish();

    std::vector<core::endpoint> configured_;
    std::vector<core::endpoint> members_;
    std::vector<core::endpoint> published_;
    heartbeat_sender& heartbeats_;
    state_subscriber& subscriber_;
};

} // namespace ibisdyke::frontends
