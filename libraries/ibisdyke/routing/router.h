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

/// The destination that a balancer has selected for a packet.
struct route {
    /// Index in routing_table::services().
    std::uint32_t service = routing_table::no_service;
    /// The packet endpoint of the chain's first member.
    core::endpoint destination;
    /// The chain that the packet follows. Valid until the next call of router::set_table().
    const chain* members = nullptr;
    /// Index of the chain in service_chains::chains(). Empty when the chain is not one of these.
    std::optional<std::uint16_t> chain_index;
    search_phase phase = search_phase::find;
    /// Bit n is set when the search need not ask the agent of members[n] for the flow.
    std::uint32_t asked = 0;

    friend bool operator==(const route&, const route&) = default;
};

/// Selects the upstream to which a balancer sends a packet. Each traffic thread has its own router.
class router {
public:
    virtual ~router() = default;

    /// Replaces the table, starting with the next packet. `table` must not be null.
    virtual void set_table(std::shared_ptr<const forwarding_table> table) = 0;

    /// Returns nothing when the destination is not the address of a service or no upstream can take the packet.
    virtual std::optional<route> select(const packet_info& packet, core::time_point now) = 0;
};

} // namespace ibisdyke::routing
