#pragma once

#include "ibisdyke/core/ids.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace ibisdyke::routing {

/// Returns the rendezvous hash of an upstream for a bucket. Upstreams rank by descending score, so that adding or
/// removing an upstream does not change the relative order of the others.
///
/// All upstreams have the same weight. The eligibility history does not record weights, so after a change of weight it
/// would be unknown which members held a bucket's flows before.
std::uint64_t rendezvous_score(std::uint32_t bucket, const core::upstream_id& id);

/// Ranks the upstreams of a service for its buckets. Reuses its buffers between calls, because ranking all buckets of
/// all services takes most of the time to build a table.
class bucket_ranker {
public:
    explicit bucket_ranker(std::vector<core::upstream_id> ids);

    /// Returns the indices of the ids, ordered by rank in the bucket. The result is valid until the next call.
    const std::vector<std::uint32_t>& rank(std::uint32_t bucket);

private:
    std::vector<core::upstream_id> ids_;
    /// Pairs of a score and the index of its id.
    std::vector<std::pair<std::uint64_t, std::uint32_t>> scores_;
    std::vector<std::uint32_t> ranking_;
};

} // namespace ibisdyke::routing
