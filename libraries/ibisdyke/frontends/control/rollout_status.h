#pragma once

#include "ibisdyke/membership/lease_table.h"

#include <vector>

namespace ibisdyke::frontends {

/// Which processes have applied which version. Called on the control thread.
class rollout_status {
public:
    virtual ~rollout_status() = default;

    /// Whether this process is the leader and every live process had the time to be heard of.
    virtual bool is_complete() const = 0;

    /// The live agents and balancers with their applied versions; empty when this process is not the leader.
    virtual std::vector<membership::process_status> processes() const = 0;
};

} // namespace ibisdyke::frontends
