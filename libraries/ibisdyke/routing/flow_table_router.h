#pragma once

#include "ibisdyke/routing/flow_table.h"
#include "ibisdyke/routing/router.h"

#include <chrono>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ibisdyke::routing {

/// Baseline for comparison: the balancer remembers the upstream of each flow and gives a new flow to the upstream with
/// the fewest flows through this balancer. A flow breaks when its packets come to reach another balancer, unless that
/// one's rendezvous ranking happens to name the same upstream. The phase `assign` lets the agent take any packet that
/// arrives, without a search.
class flow_table_router final : public router {
public:
    explicit flow_table_router(const flow_limits& limits);

    void use(std::shared_ptr<const forwarding_table> table) override;
    std::optional<route> select(const packet_info& packet, core::time_point now) override;

private:
    /// How often flows that have been idle for too long are forgotten.
    static constexpr std::chrono::seconds expiry_interval{1};

    struct target {
        std::uint32_t service = routing_table::no_service;
        chain members;
    };

    static const core::upstream_id& id_of(const target& it) { return it.members.members.front().id; }
    std::size_t given_to(const core::upstream_id& id) const;

    const target* choose(std::uint32_t service, const packet_info& packet) const;

    std::shared_ptr<const forwarding_table> table_;
    flow_table flows_;
    core::time_point last_expiry_{};
    /// Reachable upstreams of all services.
    std::unordered_map<core::upstream_id, target> targets_;
    /// Flows given to each upstream so far.
    std::unordered_map<core::upstream_id, std::size_t> given_;
};

} // namespace ibisdyke::routing
