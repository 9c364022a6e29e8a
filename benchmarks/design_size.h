#pragma once

#include "ibisdyke/routing/member.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ibisdyke::benchmarks {

constexpr std::size_t design_services = 1'200;
constexpr std::size_t design_upstreams = 9'300;

/// Returns the address of the n-th service, on port 443.
inline std::uint32_t service_address(std::size_t n)
{
    return 0x0a000000U + static_cast<std::uint32_t>(n);
}

/// Returns the services and upstreams of the design size. Each service has 7 or 8 hosts. No open flow is older than the
/// last change of an eligibility history.
inline std::vector<routing::service_members> design_size()
{
    std::vector<routing::service_members> result;
    for (std::size_t i = 0; i < design_services; ++i) {
        routing::service_members it{core::service_id(100 + i), "service-" + std::to_string(i), {}, {}};
        it.addresses.push_back({{service_address(i), 443}, routing::ip_protocol::tcp});
        result.push_back(it);
    }
    for (std::size_t i = 0; i < design_upstreams; ++i) {
        routing::member it;
        it.target.id = core::upstream_id((10'000 + i) * 1024);
        it.target.packet_endpoint = {0x0b000000U + static_cast<std::uint32_t>(i), 7000};
        it.target.request_endpoint = {0x0b000000U + static_cast<std::uint32_t>(i), 7001};
        it.eligible = true;
        it.history = {{{1, 10'000 + i}, std::nullopt}};
        it.flow_watermark = {1, 30'000};
        result[i % design_services].members.push_back(it);
    }
    return result;
}

} // namespace ibisdyke::benchmarks
