#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/routing/chain.h"
#include "ibisdyke/routing/forwarding_table.h"
#include "ibisdyke/routing/messages.h"
#include "ibisdyke/routing/packet_info.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace ibisdyke::routing {

/// Where a balancer sends a packet.
struct route {
    /// Index in the services of the table.
    std::uint32_t service = routing_table::no_service;
    /// The packet endpoint of the chain's first member.
    core::endpoint destination;
    /// Valid until the router uses another table.
    const chain* members = nullptr;
    /// Index of the chain in the service's chains(), when it is one of them.
    std::optional<std::uint16_t> chain_index;
    search_phase phase = search_phase::find;
    /// Bit n is set when the agent of members[n] need not be asked for the flow.
    std::uint32_t asked = 0;

    friend bool operator==(const route&, const route&) = default;
};

/// A balancer's way to choose the upstream of a packet. Each traffic thread has one of its own.
class router {
public:
    virtual ~router() = default;

    /// Uses another table from the next packet on; `table` is not null.
    virtual void use(std::shared_ptr<const forwarding_table> table) = 0;

    /// Returns nothing when the destination is no service's address, or no upstream can take the packet.
    virtual std::optional<route> select(const packet_info& packet, core::time_point now) = 0;
};

} // namespace ibisdyke::routing
