#pragma once

#include "ibisdyke/membership/lease_table.h"

#include <vector>

namespace ibisdyke::frontends {

/// Reports the version that each process has applied. Called on the control thread.
class rollout_status {
public:
    virtual ~rollout_status() = default;

    /// Whether this process is the leader and every live process had time to send a heartbeat, so that processes()
    /// lists all of them.
    virtual bool is_complete() const = 0;

    /// The live agents and balancers with their applied versions. Empty if this process is not the leader.
    virtual std::vector<membership::process_status> processes() const = 0;
};

} // namespace ibisdyke::frontends
