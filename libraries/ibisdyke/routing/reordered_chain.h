#pragma once

#include "ibisdyke/routing/chain.h"
#include "ibisdyke/routing/unreachable_set.h"

#include <cstdint>
#include <optional>

namespace ibisdyke::routing {

/// A chain in another order, because some of its members cannot be reached.
struct reordered_chain {
    /// The members in reach first. It has the same members as the bucket's chain, so that a flow that begins on the way
    /// is found by that chain, too.
    chain members;
    /// Bit n is set when members[n] cannot be reached.
    std::uint32_t unreachable = 0;

    friend bool operator==(const reordered_chain&, const reordered_chain&) = default;
};

/// Returns the way around the members that cannot be reached, or nothing when there is none to go around, or no
/// candidate would be left.
std::optional<reordered_chain> reorder_by_reachability(const chain& members, const unreachable_set& unreachable);

} // namespace ibisdyke::routing
