#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace ibisdyke::routing {

/// The supported IP protocols, with their protocol numbers.
enum class ip_protocol : std::uint8_t {
    tcp = 6,
    udp = 17,
};

/// Identifies a flow by its source (the caller) and destination (a public address), in host byte order.
struct flow_key {
    std::uint32_t source_address = 0;
    std::uint32_t destination_address = 0;
    std::uint16_t source_port = 0;
    std::uint16_t destination_port = 0;
    ip_protocol protocol = ip_protocol::tcp;

    friend bool operator==(const flow_key&, const flow_key&) = default;
    friend auto operator<=>(const flow_key&, const flow_key&) = default;
};

/// Returns a hash that is the same in all processes at all times, because it determines the flow's bucket.
std::uint64_t hash_of(const flow_key& key);

/// Returns the flow's bucket, which never changes.
std::uint32_t bucket_of_flow(const flow_key& key);

} // namespace ibisdyke::routing

template <>
struct std::hash<ibisdyke::routing::flow_key> {
    std::size_t operator()(const ibisdyke::routing::flow_key& it) const noexcept
    {
        return ibisdyke::routing::hash_of(it);
    }
};
