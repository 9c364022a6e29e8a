#pragma once

#include "ibisdyke/routing/chain.h"
#include "ibisdyke/routing/unreachable_set.h"

#include <cstdint>
#include <optional>

namespace ibisdyke::routing {

/// A chain with its unreachable members moved to the end.
struct reordered_chain {
    /// The reachable members first, then the unreachable ones. Contains all members of the bucket's chain, so that a
    /// search along that chain also finds a flow that began on the reordered chain.
    chain members;
    /// Bit n is set when the agent of members[n] is unreachable.
    std::uint32_t unreachable = 0;

    friend bool operator==(const reordered_chain&, const reordered_chain&) = default;
};

/// Returns the chain reordered by reachability, or nothing when all of its members or none of its candidates are
/// reachable.
std::optional<reordered_chain> reorder_by_reachability(const chain& original, const unreachable_set& unreachable);

} // namespace ibisdyke::routing
