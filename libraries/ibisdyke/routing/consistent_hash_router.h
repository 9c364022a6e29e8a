#pragma once

#include "ibisdyke/routing/router.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace ibisdyke::routing {

/// Baseline for comparison: plain consistent hashing. Every packet goes to the upstream that the hash ring of the
/// current table selects. A flow breaks when a change of members assigns its position on the ring to another upstream.
/// The phase `assign` makes the agent take every packet without a search.
class consistent_hash_router final : public router {
public:
    /// Number of points of each upstream on the hash ring of its service.
    static constexpr std::uint32_t points_per_member = 100;

    void set_table(std::shared_ptr<const forwarding_table> table) override;
    std::optional<route> select(const packet_info& packet, core::time_point now) override;

private:
    struct ring {
        /// Pairs of a point's hash and the index of its member, sorted by hash.
        std::vector<std::pair<std::uint64_t, std::uint32_t>> points;
        /// For each member, a chain with the member as its only candidate.
        std::vector<chain> chains;
    };

    static ring make_ring(const service_members& service);

    std::shared_ptr<const forwarding_table> table_;
    /// One ring for each service, in the order of the table's services.
    std::vector<ring> rings_;
};

} // namespace ibisdyke::routing
