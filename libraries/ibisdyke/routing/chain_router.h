#pragma once

#include "ibisdyke/routing/router.h"

#include <chrono>
#include <memory>
#include <optional>

namespace ibisdyke::routing {

/// The product's router: sends each packet to the first member of its bucket's chain and keeps no state of flows.
class chain_router final : public router {
public:
    /// A SYN that may be a copy is placed without a search when its bucket's chain has been the same for this long:
    /// every SYN that an older chain directed elsewhere has been answered or given up by then.
    static constexpr std::chrono::seconds settled_after{60};

    void use(std::shared_ptr<const forwarding_table> table) override;
    std::optional<route> select(const packet_facts& packet, core::time_point now) override;

private:
    /// Whether no member can know the flow of the SYN yet.
    static bool may_place(const packet_facts& syn, const chain& members, core::time_point::duration age);

    std::shared_ptr<const forwarding_table> table_;
};

} // namespace ibisdyke::routing
