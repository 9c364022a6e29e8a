#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/routing/chain.h"
#include "ibisdyke/routing/routing_table.h"

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

namespace ibisdyke::routing {

/// The time since which each bucket of each service has had its current chain in this process. Immutable. Services that
/// share their chains with the previous table share their ages as well.
class chain_ages {
public:
    /// `previous` holds the ages for `previous_table`. Both are null for the first table.
    static std::shared_ptr<const chain_ages> create(const routing_table& table,
        const std::shared_ptr<const chain_ages>& previous, const std::shared_ptr<const routing_table>& previous_table,
        core::time_point now);

    /// Returns the time since which the bucket has had its current chain. `service` is an index in the table's
    /// services().
    core::time_point since(std::uint32_t service, std::uint32_t bucket) const { return (*services_[service])[bucket]; }

private:
    using service_ages = std::array<core::time_point, buckets_per_service>;

    std::vector<std::shared_ptr<const service_ages>> services_;
};

} // namespace ibisdyke::routing
