#pragma once

#include "ibisdyke/routing/router.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace ibisdyke::routing {

/// Baseline for comparison: plain consistent hashing. Every packet goes to the upstream that the ring of the present
/// table names, so a flow breaks whenever a change of members moves its place on the ring to another upstream. The
/// phase `assign` lets the agent take any packet that arrives, without a search.
class consistent_hash_router final : public router {
public:
    /// Places of each upstream on its service's ring.
    static constexpr std::uint32_t places_per_member = 100;

    void use(std::shared_ptr<const forwarding_table> table) override;
    std::optional<route> select(const packet_info& packet, core::time_point now) override;

private:
    struct ring {
        /// Hashes with the indices of the members they belong to, by rising hash.
        std::vector<std::pair<std::uint64_t, std::uint32_t>> places;
        /// One chain of one candidate for each member.
        std::vector<chain> members;
    };

    static ring make_ring(const service_members& service);

    std::shared_ptr<const forwarding_table> table_;
    /// In the order of the table's services.
    std::vector<ring> rings_;
};

} // namespace ibisdyke::routing
