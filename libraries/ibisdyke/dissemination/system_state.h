#pragma once

#include "ibisdyke/configuration/configuration_state.h"
#include "ibisdyke/core/version.h"
#include "ibisdyke/membership/membership_state.h"

#include <memory>

namespace ibisdyke::dissemination {

/// The part of the replicated state that balancers and agents need. Never changed after it is published, so that
/// traffic threads can read it without locks. A delta is applied to a copy; see delta.h.
struct system_state {
    core::version applied;
    configuration::configuration_state configuration;
    membership::membership_state membership;

    friend bool operator==(const system_state&, const system_state&) = default;
};

using system_state_snapshot = std::shared_ptr<const system_state>;

} // namespace ibisdyke::dissemination
