#pragma once

#include "ibisdyke/routing/reordered_chain.h"
#include "ibisdyke/routing/router.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace ibisdyke::routing {

/// The router for production use. Sends each packet to the first reachable member of its bucket's chain and keeps no
/// state per flow.
class chain_router final : public router {
public:
    /// A SYN that may be a retransmission is placed without a search when its bucket's chain contains only candidates
    /// and has been unchanged for this long. By then, every SYN that was sent along an older chain has been answered or
    /// abandoned.
    static constexpr std::chrono::seconds settled_after{60};

    void set_table(std::shared_ptr<const forwarding_table> table) override;
    std::optional<route> select(const packet_info& packet, core::time_point now) override;

private:
    /// Returns whether the SYN may be placed without a search, because no member can know its flow yet or because it
    /// does no harm if another one does.
    static bool may_place(const packet_info& syn, const chain& bucket_chain, core::time_point::duration age);

    std::uint32_t find_other_target(const flow_key& flow, std::uint32_t selected) const;
    /// Returns the route along the reordered chain, or nothing when all members or no candidates are reachable.
    std::optional<route> select_reordered_chain(const packet_info& packet, std::uint32_t service, std::uint16_t chain);
    /// Returns the reordered chain from the cache and computes it at the first use.
    const std::optional<reordered_chain>& find_reordered_chain(std::uint32_t service, std::uint16_t chain);

    std::shared_ptr<const forwarding_table> table_;
    /// Cache of the reordered chains for the current table, by service and chain. Empty optional: not reordered.
    std::map<std::pair<std::uint32_t, std::uint16_t>, std::optional<reordered_chain>> reordered_chains_;
};

} // namespace ibisdyke::routing
