#pragma once

#include "ibisdyke/core/ids.h"
#include "ibisdyke/core/version.h"
#include "ibisdyke/routing/chain.h"
#include "ibisdyke/routing/destination_table.h"
#include "ibisdyke/routing/flow_key.h"
#include "ibisdyke/routing/member.h"
#include "ibisdyke/routing/service_chains.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace ibisdyke::routing {

/// Returns the bucket of an idempotency key.
std::uint32_t bucket_of_key(std::string_view key);

/// The chains of all services and the routes of all public addresses at one version. Immutable and shared by the
/// control thread and the traffic threads.
class routing_table {
public:
    /// Computes the chains of all buckets. Shares the chains of unchanged services with `previous`, which may be null.
    /// When two services have the same public address, the service with the lower id gets it. Targets of `routes` that
    /// are not among the services take no flows.
    static std::shared_ptr<const routing_table> create(const core::version& at,
        const std::vector<service_members>& services, const std::shared_ptr<const routing_table>& previous,
        const route_set& routes = {});

    const core::version& at() const { return at_; }

    /// Returns the services in ascending order of their ids.
    const std::vector<std::shared_ptr<const service_chains>>& services() const { return services_; }

    /// Returns null when the service is unknown.
    std::shared_ptr<const service_chains> find_service(const core::service_id& service) const;

    /// Returns the upstream with this id, or null when no service has it.
    const member* find_member(const core::upstream_id& id) const;

    /// Returns the chain of a bucket, or null when the service is unknown.
    const chain* find_chain(const core::service_id& service, std::uint32_t bucket) const;

    /// Returned by find_destination() for an address that belongs to no service.
    static constexpr std::uint32_t no_service = 0xffff'ffff;

    /// Returns the index in services() of the service that takes the flow, or no_service when there is none.
    std::uint32_t find_destination(const flow_key& flow) const;

    /// Returns the index in services() of the first service with members that may hold open flows of the flow's route,
    /// or no_service when there is none.
    std::uint32_t find_holder(const flow_key& flow) const;

    const destination_table& destinations() const { return destinations_; }

    /// Returns an estimate of the memory held.
    std::size_t size_bytes() const;

private:
    explicit routing_table(const core::version& at)
        : at_(at)
    {
    }

    /// Returns the service's index in services(), or no_service when it is unknown.
    std::uint32_t index_of(const core::service_id& service) const;

    core::version at_;
    std::vector<std::shared_ptr<const service_chains>> services_;
    destination_table destinations_;
};

} // namespace ibisdyke::routing
