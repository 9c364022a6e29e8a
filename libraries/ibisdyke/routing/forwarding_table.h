#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/routing/chain_ages.h"
#include "ibisdyke/routing/routing_table.h"
#include "ibisdyke/routing/unreachable_set.h"

#include <memory>

namespace ibisdyke::routing {

/// The data from which a balancer routes flows: the chains of all services, the times since which the buckets have had
/// their chains in this process, and the unreachable upstreams. Immutable.
struct forwarding_table {
    std::shared_ptr<const routing_table> chains;
    std::shared_ptr<const chain_ages> ages;
    unreachable_set unreachable;

    /// Takes over the ages of unchanged chains from `previous`, which is null for the first table.
    static std::shared_ptr<const forwarding_table> create(std::shared_ptr<const routing_table> chains,
        const std::shared_ptr<const forwarding_table>& previous, core::time_point now,
        unreachable_set unreachable = {});

    friend bool operator==(const forwarding_table&, const forwarding_table&) = default;
};

} // namespace ibisdyke::routing
