#pragma once

#include "ibisdyke/routing/flow_table.h"
#include "ibisdyke/routing/router.h"

#include <chrono>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ibisdyke::routing {

/// Baseline for comparison: the balancer stores the upstream of each flow and assigns a new flow to the upstream to
/// which it has assigned the fewest flows. A flow breaks when its packets move to another balancer, unless the
/// rendezvous ranking there selects the same upstream. The phase `assign` makes the agent take every packet without a
/// search.
class flow_table_router final : public router {
public:
    explicit flow_table_router(const flow_limits& limits);

    void set_table(std::shared_ptr<const forwarding_table> table) override;
    std::optional<route> select(const packet_info& packet, core::time_point now) override;

private:
    /// Interval at which idle flows are removed from the flow table.
    static constexpr std::chrono::seconds expiry_interval{1};

    struct target {
        std::uint32_t service = routing_table::no_service;
        /// A chain with the upstream as its only member.
        chain members;
    };

    static const core::upstream_id& id_of(const target& it) { return it.members.members.front().id; }
    std::size_t assigned_flows(const core::upstream_id& id) const;

    const target* choose(std::uint32_t service, const packet_info& packet) const;

    std::shared_ptr<const forwarding_table> table_;
    flow_table flows_;
    core::time_point last_expiry_{};
    /// The reachable upstreams of all services.
    std::unordered_map<core::upstream_id, target> targets_;
    /// Number of flows that this router has assigned to each upstream so far.
    std::unordered_map<core::upstream_id, std::size_t> assigned_flows_;
};

} // namespace ibisdyke::routing
