#pragma once

#include "ibisdyke/routing/flow_key.h"
#include "ibisdyke/routing/flow_route.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ibisdyke::routing {

/// Whether a public address has a route.
enum class address_state : std::uint8_t {
    unknown,
    routed,
    /// Operators removed the route of the address.
    withdrawn,
};

/// The routes of all public addresses. Immutable once built.
class destination_table {
public:
    destination_table() = default;

    /// When several routes have the same address, the first of them is used.
    destination_table(std::vector<flow_route> routes, const std::vector<public_address>& withdrawn);

    /// Returns the route of the flow's destination, or null when it has none.
    const flow_route* find(const flow_key& flow) const;

    address_state state_of(const flow_key& flow) const;

    /// Selects a target for the flow in proportion to the targets' weights. A route's only target is selected whatever
    /// its weight. Returns null when the address has no route, when the route has no targets, or when it has several
    /// targets whose weights are all 0. Every process with the same table selects the same target for a flow.
    const route_target* choose(const flow_key& flow) const;

    std::size_t size_bytes() const;

private:
    static constexpr std::uint32_t no_route = 0xffff'ffff;

    /// A slot of the hash table of addresses. The table resolves collisions by linear probing.
    struct slot {
        /// The result of pack_address(); 0 for a free slot.
        std::uint64_t address = 0;
        /// Index in routes_, or no_route for a withdrawn address.
        std::uint32_t route = no_route;
    };

    const slot* find_slot(const flow_key& flow) const;
    void insert(const public_address& address, std::uint32_t route);

    std::vector<flow_route> routes_;
    /// Hash table of all addresses. Its size is a power of two and at least twice the number of addresses.
    std::vector<slot> slots_{1};
};

} // namespace ibisdyke::routing
