#pragma once

#include "ibisdyke/core/time.h"

namespace ibisdyke::measure {

/// Faults and delay on the link from one process to another.
struct link_conditions {
    /// Shares of datagrams, 0 to 1. On a TCP connection `loss` delays a chunk by a retransmission timeout instead;
    /// chunks stay in order.
    double loss = 0;
    double duplicate = 0;
    double reorder = 0;
    /// One-way delay, added to that of the topology.
    core::milliseconds delay{0};

    friend bool operator==(const link_conditions&, const link_conditions&) = default;
};

} // namespace ibisdyke::measure
