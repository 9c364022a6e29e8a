#pragma once

#include "ibisdyke/core/endpoint.h"

#include <cstdint>
#include <optional>
#include <string>

namespace ibisdyke::measure {

/// Kind of traffic on a route.
enum class route_kind : std::uint8_t {
    datagrams,
    /// Connections that carry the callers' traffic.
    traffic,
    /// Connections that carry control traffic. Their bytes are counted.
    control,
};

/// Maps an endpoint on which the proxy listens to the endpoint of a process.
struct route {
    route_kind kind = route_kind::traffic;
    /// Name of the process.
    std::string target;
    core::endpoint advertised_endpoint;
    core::endpoint listen_endpoint;
    /// The public address of the service to which the process belongs. Set for datagrams to agents only.
    std::optional<core::endpoint> service;

    friend bool operator==(const route&, const route&) = default;
};

} // namespace ibisdyke::measure
