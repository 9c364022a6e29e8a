#include "ibisdyke/routing/flow_key.h"

#include "ibisdyke/routing/chain.h"

#include <array>
#include <bit>
#include <cstring>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ibisdyke::routing {

// All processes of a system must compute the same hash, which depends on the byte order of the hashed words.
static_assert(std::endian::native == std::endian::little);

std::uint64_t hash_of(const flow_key& key)
{
    const std::array<std::uint32_t, 4> words{key.source_address, key.destination_address,
        (std::uint32_t{key.source_port} << 16U) | key.destination_port, static_cast<std::uint32_t>(key.protocol)};
    return XXH3_64bits(words.data(), sizeof(words));
}

std::uint32_t bucket_of_flow(const flow_key& key)
{
    return static_cast<std::uint32_t>(hash_of(key) % buckets_per_service);
}

} // namespace ibisdyke::routing
