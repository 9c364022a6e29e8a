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

/// The product's router: sends each packet to the first member of its bucket's chain that can be reached and keeps no
/// state of flows.
class chain_router final : public router {
public:
    /// A SYN that may be a copy is placed without a search when its bucket's chain has been the same for this long:
    /// every SYN that an older chain directed elsewhere has been answered or given up by then.
    static constexpr std::chrono::seconds settled_after{60};

    void use(std::shared_ptr<const forwarding_table> table) override;
    std::optional<route> select(const packet_info& packet, core::time_point now) override;

private:
    /// Whether no member can know the flow of the SYN yet.
    static bool may_place(const packet_info& syn, const chain& members, core::time_point::duration age);

    std::optional<route> select_detour(const packet_info& packet, std::uint32_t service, std::uint16_t chain);
    const std::optional<reordered_chain>& detour_of(std::uint32_t service, std::uint16_t chain);

    std::shared_ptr<const forwarding_table> table_;
    /// By service and chain; of the present table, as far as they were needed.
    std::map<std::pair<std::uint32_t, std::uint16_t>, std::optional<reordered_chain>> detours_;
};

} // namespace ibisdyke::routing
