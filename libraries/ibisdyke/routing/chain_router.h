#pragma once

#include "ibisdyke/routing/reordered_chain.h"
#include "ibisdyke/routing/router.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <tuple>

namespace ibisdyke::routing {

/// The router for production use. Sends each packet to the first reachable member of its bucket's chain and keeps no
/// state per flow. A retransmitted SYN goes to another candidate than the SYN before it, because the agent or upstream
/// that got the former one may have crashed.
class chain_router final : public router {
public:
    /// A SYN that may be a retransmission is placed without a search when its bucket's chain contains only candidates
    /// and has been unchanged for this long. By then, every SYN that was sent along an older chain has been answered or
    /// abandoned.
    static constexpr std::chrono::seconds settled_after{60};

    void set_table(std::shared_ptr<const forwarding_table> table) override;
    std::optional<route> select(const packet_info& packet, core::time_point now) override;

private:
    /// Returns whether the SYN may be placed without a search, because no member can know its flow yet.
    static bool may_place(const packet_info& syn, const chain& bucket_chain, core::time_point::duration age);

    /// Returns the route along the reordered chain, or nothing when the packet follows the bucket's chain unchanged.
    std::optional<route> select_reordered_chain(const packet_info& packet, std::uint32_t service, std::uint16_t chain);
    /// Returns the reordered chain from the cache and computes it at the first use.
    const std::optional<reordered_chain>& find_reordered_chain(
        std::uint32_t service, std::uint16_t chain, std::uint32_t unanswered_syns);

    std::shared_ptr<const forwarding_table> table_;
    /// Cache of the reordered chains for the current table, by service, chain and number of unanswered SYNs. Empty
    /// optional: not reordered.
    std::map<std::tuple<std::uint32_t, std::uint16_t, std::uint32_t>, std::optional<reordered_chain>> reordered_chains_;
};

} // namespace ibisdyke::routing
