#include "ibisdyke/routing/rendezvous.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ibisdyke::routing {

std::uint64_t rendezvous_score(std::uint32_t bucket, const core::upstream_id& id)
{
    const auto value = id.value();
    return XXH3_64bits_withSeed(&value, sizeof(value), bucket);
}

bucket_ranker::bucket_ranker(std::vector<core::upstream_id> ids)
    : ids_(std::move(ids))
    , scores_(ids_.size())
    , ranking_(ids_.size())
{
}

const std::vector<std::uint32_t>& bucket_ranker::rank(std::uint32_t bucket)
{
    for (std::size_t i = 0; i < ids_.size(); ++i)
        scores_[i] = {rendezvous_score(bucket, ids_[i]), static_cast<std::uint32_t>(i)};
    std::sort(scores_.begin(), scores_.end(), [this](const auto& a, const auto& b) {
        if (a.first != b.first)
            return a.first > b.first;
        return ids_[a.second] < ids_[b.second];
    });
    for (std::size_t i = 0; i < scores_.size(); ++i)
        ranking_[i] = scores_[i].second;
    return ranking_;
}

} // namespace ibisdyke::routing
