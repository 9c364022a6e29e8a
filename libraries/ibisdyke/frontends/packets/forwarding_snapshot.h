#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/routing/forwarding_table.h"
#include "ibisdyke/routing/wire/encoded_chains.h"

#include <memory>

namespace ibisdyke::frontends {

/// The forwarding table of a balancer's packet threads with the encoded packet headers of its chains. Immutable;
/// published by the control thread.
struct forwarding_snapshot {
    std::shared_ptr<const routing::forwarding_table> table;
    std::shared_ptr<const routing::wire::encoded_chains> headers;

    /// Builds the snapshot for `chains` from the one before it; `previous` is null for the first table.
    static std::shared_ptr<const forwarding_snapshot> create(std::shared_ptr<const routing::routing_table> chains,
        const std::shared_ptr<const forwarding_snapshot>& previous, core::time_point now,
        routing::unreachable_set unreachable = {});

    friend bool operator==(const forwarding_snapshot&, const forwarding_snapshot&) = default;
};

} // namespace ibisdyke::frontends
