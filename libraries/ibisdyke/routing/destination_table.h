#pragma once

#include "ibisdyke/routing/flow_key.h"
#include "ibisdyke/routing/flow_route.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ibisdyke::routing {

/// What a public address stands for.
enum class address_state : std::uint8_t {
    unknown,
    routed,
    /// Had a route until operators removed it.
    withdrawn,
};

/// The routes of all public addresses. Immutable once built.
class destination_table {
public:
    destination_table() = default;

    /// When an address has several routes, the first one gets it.
    destination_table(std::vector<flow_route> routes, const std::vector<public_address>& withdrawn);

    /// Returns the route of the flow's destination, or null.
    const flow_route* find(const flow_key& flow) const;

    address_state state_of(const flow_key& flow) const;

    /// Returns the target that takes the flow, by the targets' weights, or null when the address has no route. The same
    /// flow gets the same target in every process with the same table.
    const route_target* choose(const flow_key& flow) const;

    std::size_t size_bytes() const;

private:
    static constexpr std::uint32_t no_route = 0xffff'ffff;

    /// A slot of the hash table of addresses, which is probed linearly.
    struct slot {
        std::uint64_t address = 0;
        /// Index in routes_; no_route for a withdrawn address.
        std::uint32_t route = no_route;
    };

    const slot* find_slot(const flow_key& flow) const;
    void insert(const public_address& address, std::uint32_t route);

    std::vector<flow_route> routes_;
    /// The size is a power of two and at least twice the number of addresses.
    std::vector<slot> slots_{1};
};

} // namespace ibisdyke::routing
