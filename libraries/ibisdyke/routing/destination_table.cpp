#include "ibisdyke/routing/destination_table.h"

#include <bit>
#include <utility>

namespace ibisdyke::routing {

namespace {

/// Encodes address, port and protocol as one number. The number is never 0, because the protocol is not 0.
std::uint64_t pack_address(std::uint32_t address, std::uint16_t port, ip_protocol protocol)
{
    return (std::uint64_t{address} << 32U) | (std::uint64_t{port} << 16U) | static_cast<std::uint64_t>(protocol);
}

std::size_t hash_address(std::uint64_t packed)
{
    // Fibonacci hashing: multiplying by 2^64 divided by the golden ratio spreads the addresses of one subnet over the
    // upper bits.
    constexpr std::uint64_t multiplier = 0x9e37'79b9'7f4a'7c15;
    return static_cast<std::size_t>((packed * multiplier) >> 32U);
}

} // namespace

destination_table::destination_table(std::vector<flow_route> routes, const std::vector<public_address>& withdrawn)
    : routes_(std::move(routes))
{
    slots_.resize(std::bit_ceil(2 * (routes_.size() + withdrawn.size() + 1)));
    for (std::uint32_t i = 0; i < routes_.size(); ++i)
        insert(routes_[i].address, i);
    for (const auto& it : withdrawn)
        insert(it, no_route);
}

void destination_table::insert(const public_address& address, std::uint32_t route)
{
    const auto packed = pack_address(address.address.address, address.address.port, address.protocol);
    const auto mask = slots_.size() - 1;
    auto i = hash_address(packed) & mask;
    while (slots_[i].address != 0 && slots_[i].address != packed)
        i = (i + 1) & mask;
    if (slots_[i].address == 0)
        slots_[i] = {packed, route};
}

const destination_table::slot* destination_table::find_slot(const flow_key& flow) const
{
    const auto packed = pack_address(flow.destination_address, flow.destination_port, flow.protocol);
    const auto mask = slots_.size() - 1;
    auto i = hash_address(packed) & mask;
    while (slots_[i].address != 0) {
        if (slots_[i].address == packed)
            return &slots_[i];
        i = (i + 1) & mask;
    }
    return nullptr;
}

const flow_route* destination_table::find(const flow_key& flow) const
{
    const auto* const it = find_slot(flow);
    return it == nullptr || it->route == no_route ? nullptr : &routes_[it->route];
}

address_state destination_table::state_of(const flow_key& flow) const
{
    const auto* const it = find_slot(flow);
    if (it == nullptr)
        return address_state::unknown;
    return it->route == no_route ? address_state::withdrawn : address_state::routed;
}

const route_target* destination_table::choose(const flow_key& flow) const
{
    const auto* const route = find(flow);
    if (route == nullptr || route->targets.empty())
        return nullptr;
    if (route->targets.size() == 1)
        return &route->targets.front();
    std::uint64_t total = 0;
    for (const auto& it : route->targets)
        total += it.weight;
    if (total == 0)
        return nullptr;
    // Uses the upper bits of the hash, because the lower bits select the bucket: the choice of the target must not
    // depend on the bucket.
    auto offset = (hash_of(flow) >> 32U) % total;
    for (const auto& it : route->targets) {
        if (offset < it.weight)
            return &it;
        offset -= it.weight;
    }
    return nullptr;
}

std::size_t destination_table::size_bytes() const
{
    return sizeof(*this) + slots_.capacity() * sizeof(slot) + routes_.capacity() * sizeof(flow_route);
}

} // namespace ibisdyke::routing
