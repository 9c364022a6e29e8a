#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/ids.h"
#include "ibisdyke/core/version.h"
#include "ibisdyke/routing/candidate_sets.h"
#include "ibisdyke/routing/chain.h"
#include "ibisdyke/routing/member.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace ibisdyke::routing {

/// The chains of all buckets of one service. Immutable. Buckets with equal chains share one object: with eight members,
/// the 1,024 buckets have about 300 distinct chains.
class service_chains {
public:
    /// Limit of the 16-bit member indices. Larger than any service at the design size.
    static constexpr std::size_t max_members = 0xffff;

    /// Throws std::length_error for a service with more than max_members.
    static std::shared_ptr<const service_chains> create(const service_members& service);

    const service_members& service() const { return service_; }

    /// Returns the index in chains() of the bucket's chain.
    std::uint16_t chain_index(std::uint32_t bucket) const { return buckets_[bucket].chain; }

    const chain& chain_of(std::uint32_t bucket) const { return chains_[buckets_[bucket].chain]; }

    /// Returns the packet endpoint of the first member of the bucket's chain, or null when the chain is empty. Sending
    /// a packet usually needs only this endpoint, and this function reads fewer cache lines than a lookup in the chain.
    const core::endpoint* first_endpoint(std::uint32_t bucket) const
    {
        const auto first = buckets_[bucket].first_member;
        return first == no_member ? nullptr : &endpoints_[first];
    }

    /// Returns the distinct chains.
    const std::vector<chain>& chains() const { return chains_; }

    /// Returns null when the service has no such member.
    const member* find_member(const core::upstream_id& id) const;

    /// Returns every member that may hold flows of the bucket, in the order of the chain but not limited to
    /// max_chain_length. Meant for searches that have found nothing along the chain, because it ranks all members.
    std::vector<chain_member> holders(std::uint32_t bucket) const;

    /// Returns the reachable members that are not in `used`, ordered by rank in the bucket.
    std::vector<chain_member> other_members(std::uint32_t bucket, const std::vector<core::upstream_id>& used) const;

    /// Returns an estimate of the memory held.
    std::size_t size_bytes() const;

private:
    static constexpr std::uint16_t no_member = 0xffff;

    struct bucket_entry {
        /// Index in chains().
        std::uint16_t chain = 0;
        /// Index of the first member of the chain.
        std::uint16_t first_member = no_member;
    };

    explicit service_chains(service_members service);

    /// Returns the indices of all members, ordered by rank in the bucket.
    std::vector<std::uint32_t> rank(std::uint32_t bucket) const;

    service_members service_;
    candidate_sets candidate_sets_;
    /// Indices of the members in ascending order of their ids.
    std::vector<std::uint32_t> indices_by_id_;
    std::array<bucket_entry, buckets_per_service> buckets_{};
    std::vector<chain> chains_;
    /// Packet endpoints of the members, by member index.
    std::vector<core::endpoint> endpoints_;
};

} // namespace ibisdyke::routing
