#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/ids.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ibisdyke::routing {

/// Number of buckets of each service. A flow or an idempotency key always belongs to the same bucket.
constexpr std::uint32_t buckets_per_service = 1024;

/// Maximum number of members at the front of a chain that may take new flows.
constexpr std::size_t max_candidates = 3;

/// Maximum number of members of a chain. Bounds the size of the packet header and the hops of a search.
constexpr std::size_t max_chain_length = 8;

/// One upstream in a chain.
struct chain_member {
    core::upstream_id id;
    core::endpoint packet_endpoint;
    core::endpoint request_endpoint;
    core::incarnation agent;

    friend bool operator==(const chain_member&, const chain_member&) = default;
};

/// The upstreams of a bucket in the order in which a search asks them. Candidates for new flows come first, followed by
/// the upstreams that may still hold older flows.
struct chain {
    std::vector<chain_member> members;
    /// Number of members at the front that may take new flows.
    std::size_t candidates = 0;
    /// Whether max_chain_length left out members that may hold flows of the bucket.
    bool truncated = false;

    friend bool operator==(const chain&, const chain&) = default;
};

} // namespace ibisdyke::routing
