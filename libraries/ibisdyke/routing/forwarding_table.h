#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/routing/chain_ages.h"
#include "ibisdyke/routing/routing_table.h"
#include "ibisdyke/routing/unreachable_set.h"

#include <memory>

namespace ibisdyke::routing {

/// What a balancer routes flows with: the chains of all services, and since when each of them is in force here.
/// Immutable.
struct forwarding_table {
    std::shared_ptr<const routing_table> chains;
    std::shared_ptr<const chain_ages> ages;
    unreachable_set unreachable;

    /// `previous` is null for the first table.
    static std::shared_ptr<const forwarding_table> create(std::shared_ptr<const routing_table> chains,
        const std::shared_ptr<const forwarding_table>& previous, core::time_point now,
        unreachable_set unreachable = {});

    friend bool operator==(const forwarding_table&, const forwarding_table&) = default;
};

} // namespace ibisdyke::routing
