#include "ibisdyke/routing/service_chains.h"

#include "ibisdyke/routing/rendezvous.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <stdexcept>
#include <string>
#include <utility>

namespace ibisdyke::routing {

namespace {

/// A chain as indices of members. Has a fixed size, so that computing and comparing chains allocates no memory.
struct index_chain {
    std::array<std::uint16_t, max_chain_length> members{};
    std::size_t size = 0;
    std::size_t candidates = 0;
    bool truncated = false;

    bool contains(std::uint32_t it) const
    {
        return std::find(members.begin(), members.begin() + size, it) != members.begin() + size;
    }

    void push_back(std::uint32_t it) { members[size++] = static_cast<std::uint16_t>(it); }

    friend auto operator<=>(const index_chain&, const index_chain&) = default;
};

index_chain make_chain(const std::vector<std::uint32_t>& ranking, const candidate_sets& sets)
{
    index_chain result;
    sets.for_each_candidate(ranking, [&result](std::uint32_t it) { result.push_back(it); });
    result.candidates = result.size;
    sets.for_each_holder(ranking, [&result](std::uint32_t it) {
        if (result.contains(it))
            return;
        if (result.size == max_chain_length)
            result.truncated = true;
        else
            result.push_back(it);
    });
    return result;
}

chain to_chain(const index_chain& indices, const std::vector<member>& members)
{
    chain result;
    result.candidates = indices.candidates;
    result.truncated = indices.truncated;
    result.members.reserve(indices.size);
    for (std::size_t i = 0; i < indices.size; ++i)
        result.members.push_back(members[indices.members[i]].target);
    return result;
}

} // namespace

service_chains::service_chains(service_members service)
    : service_(std::move(service))
    , candidate_sets_(service_.members)
{
    const auto& members = service_.members;
    if (members.size() > max_members)
        throw std::length_error("service " + service_.name + " has " + std::to_string(members.size())
            + " members; the maximum is " + std::to_string(max_members));
    std::vector<core::upstream_id> ids;
    ids.reserve(members.size());
    endpoints_.reserve(members.size());
    for (const auto& it : members) {
        ids.push_back(it.target.id);
        endpoints_.push_back(it.target.packet_endpoint);
    }
    indices_by_id_.resize(members.size());
    std::iota(indices_by_id_.begin(), indices_by_id_.end(), 0U);
    std::sort(indices_by_id_.begin(), indices_by_id_.end(), [&ids](auto a, auto b) { return ids[a] < ids[b]; });
    bucket_ranker ranker(std::move(ids));
    std::map<index_chain, std::uint16_t> chain_indices;
    for (std::uint32_t bucket = 0; bucket < buckets_per_service; ++bucket) {
        const auto indices = make_chain(ranker.rank(bucket), candidate_sets_);
        const auto [it, is_new] = chain_indices.try_emplace(indices, static_cast<std::uint16_t>(chains_.size()));
        buckets_[bucket].chain = it->second;
        if (indices.size > 0)
            buckets_[bucket].first_member = indices.members.front();
        if (is_new)
            chains_.push_back(to_chain(indices, members));
    }
    chains_.shrink_to_fit();
}

std::shared_ptr<const service_chains> service_chains::create(const service_members& service)
{
    return std::shared_ptr<const service_chains>(new service_chains(service));
}

const member* service_chains::find_member(const core::upstream_id& id) const
{
    const auto& members = service_.members;
    const auto it = std::lower_bound(indices_by_id_.begin(), indices_by_id_.end(), id,
        [&members](std::uint32_t i, const auto& wanted) { return members[i].target.id < wanted; });
    if (it == indices_by_id_.end() || members[*it].target.id != id)
        return nullptr;
    return &members[*it];
}

std::vector<std::uint32_t> service_chains::rank(std::uint32_t bucket) const
{
    std::vector<core::upstream_id> ids;
    for (const auto& it : service_.members)
        ids.push_back(it.target.id);
    return bucket_ranker(std::move(ids)).rank(bucket);
}

std::vector<chain_member> service_chains::holders(std::uint32_t bucket) const
{
    std::vector<chain_member> result;
    const auto add = [&](std::uint32_t i) {
        const auto& it = service_.members[i].target;
        if (std::find(result.begin(), result.end(), it) == result.end())
            result.push_back(it);
    };
    const auto ranking = rank(bucket);
    candidate_sets_.for_each_candidate(ranking, add);
    candidate_sets_.for_each_holder(ranking, add);
    return result;
}

std::vector<chain_member> service_chains::other_members(
    std::uint32_t bucket, const std::vector<core::upstream_id>& used) const
{
    std::vector<chain_member> result;
    for (const auto i : rank(bucket)) {
        const auto& it = service_.members[i];
        if (it.reachable && std::find(used.begin(), used.end(), it.target.id) == used.end())
            result.push_back(it.target);
    }
    return result;
}

std::size_t service_chains::size_bytes() const
{
    std::size_t result = sizeof(*this) + endpoints_.capacity() * sizeof(core::endpoint);
    for (const auto& it : chains_)
        result += sizeof(it) + it.members.capacity() * sizeof(chain_member);
    for (const auto& it : service_.members)
        result += sizeof(it) + it.history.capacity() * sizeof(core::version_interval);
    return result;
}

} // namespace ibisdyke::routing
