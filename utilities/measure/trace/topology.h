#pragma once

#include "ibisdyke/core/time.h"

#include <QJsonObject>

#include <cstdint>
#include <string>
#include <vector>

namespace ibisdyke::measure {

/// Properties of the requests to a service.
struct request_mix {
    /// Share of requests that are not idempotent, 0 to 1.
    double non_idempotent = 0.5;
    std::uint64_t answer_bytes = 512;
    /// Time that an upstream takes to execute a request.
    core::milliseconds work{5};
    /// Share of the idempotent requests with an answer of `large_bytes`, 0 to 1.
    double large_share = 0;
    std::uint64_t large_bytes = 0;
    /// Share of callers that read their answer at about 1 MB per second, 0 to 1.
    double slow_readers = 0;
    core::milliseconds deadline{5000};

    friend bool operator==(const request_mix&, const request_mix&) = default;
};

/// A service and its upstreams.
struct service_spec {
    std::string name;
    std::uint32_t upstreams = 1;
    std::uint32_t slots = 5;
    /// Fields of the service's profile; empty for the default profile.
    QJsonObject profile;
    request_mix requests;
    /// Limit on new flows per second for an upstream at full load; 0 means no limit. In cold start the limit is a share
    /// of this rate.
    double new_flows_per_s = 0;
    /// Initial load share of a fake upstream in cold start, and the time until it reaches the full load.
    double cold_share = 0.1;
    core::milliseconds cold_ramp{10'000};
    /// Weights by which flows and requests are distributed over the services.
    double flow_weight = 1;
    double request_weight = 1;

    friend bool operator==(const service_spec&, const service_spec&) = default;
};

/// The processes of a run and the load on them.
struct topology {
    std::uint32_t domains = 3;
    std::uint32_t balancers = 4;
    std::uint32_t control = 3;
    std::vector<service_spec> services;
    double flows_per_s = 0;
    double flow_s = 20;
    double requests_per_s = 0;
    /// Share of flows that are UDP, 0 to 1.
    double udp_share = 0.2;
    /// Rate of a SYN flood to the first service. Each SYN has a random caller, is sent once and is followed by no other
    /// packet.
    double flood_per_s = 0;
    /// Limit on the entries of each agent's flow table; 0 means the agent's default.
    std::uint32_t max_flows = 0;
    core::milliseconds keepalive{1000};
    /// A flow counts as broken when it gets no answer for this time.
    core::milliseconds flow_give_up{8000};
    /// One-way delays between failure domains, and between callers and the system.
    core::milliseconds domain_delay{0};
    core::milliseconds client_delay{0};
    /// Value of the balancers' setting --router.
    std::string router = "chains";
    /// Value of the balancers' setting --attempt-selector.
    std::string attempt_selector = "chain-order";
    std::uint64_t seed = 1;
    double seconds = 10;

    friend bool operator==(const topology&, const topology&) = default;
};

/// Parses the first line of a trace. Throws core::invalid_input with the name of an invalid field.
topology parse_topology(const QJsonObject& document);

/// Returns the line of a trace that parse_topology() parses.
QJsonObject to_json(const topology& it);

} // namespace ibisdyke::measure
