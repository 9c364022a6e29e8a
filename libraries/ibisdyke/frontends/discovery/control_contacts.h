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
class control_contacts {
public:
    control_contacts(std::vector<core::endpoint> listed, heartbeat_sender& heartbeats, state_subscriber& subscriber)
        : listed_(std::move(listed))
        , heartbeats_(heartbeats)
        , subscriber_(subscriber)
    {
    }

    void set_listed(std::vector<core::endpoint> listed);
    void take(const membership::membership_state& state);

private:
    void publish();

    std::vector<core::endpoint> listed_;
    std::vector<core::endpoint> members_;
    std::vector<core::endpoint> published_;
    heartbeat_sender& heartbeats_;
    state_subscriber& subscriber_;
};

} // namespace ibisdyke::frontends
