#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/ids.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/core/version_interval.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibisdyke::configuration {

/// The IP protocol of a public address, with its protocol number.
enum class transport_protocol : std::uint8_t {
    tcp = 6,
    udp = 17,
};

/// A public address of a service: packets to it are balanced over the service's upstreams.
struct service_address {
    core::endpoint address;
    transport_protocol protocol = transport_protocol::tcp;

    friend bool operator==(const service_address&, const service_address&) = default;
    friend auto operator<=>(const service_address&, const service_address&) = default;
};

/// What a neighbour may use of each upstream of the services that run under a profile.
struct neighbour_share {
    core::neighbour name;
    /// Relative weight in the division of contended capacity; at least 1.
    std::uint32_t weight = 1;
    /// Requests per second over all upstreams of a service; 0 means no limit.
    std::uint32_t limit_per_second = 0;
    /// Requests that may exceed the limit at once.
    std::uint32_t burst = 0;

    friend bool operator==(const neighbour_share&, const neighbour_share&) = default;
};

/// A named set of rules that services run under. Edited by operators; `revision` grows by one with each edit.
struct profile {
    std::string name;
    std::uint64_t revision = 0;
    /// Share of an upstream's slots and new flows that is allowed at the beginning of a cold start, 0 to 1.
    double cold_start_share = 0.1;
    /// Time from the beginning of a cold start to full load.
    core::milliseconds cold_start_ramp{10'000};
    /// Time after which a draining upstream's remaining flows are given up.
    core::milliseconds drain_limit{30'000};
    /// Retries allowed as a share of recent requests, 0 to 1.
    double retry_budget = 0.1;
    /// Requests that may wait at an agent for each slot of its upstream.
    std::uint32_t queue_per_slot = 2;
    /// Longest wait in an agent's queue.
    core::milliseconds queue_age_limit{100};
    /// Largest share of a service's live upstreams that may be removed by expiry within 10 s, 0 to 1.
    double mass_expiry_limit = 0.5;
    std::vector<neighbour_share> neighbours;

    friend bool operator==(const profile&, const profile&) = default;
};

/// What the upstreams of a service bear in a cold start.
struct cold_start_bound {
    /// Time from the start of an upstream until it bears its full load; 0 when it needs no care.
    core::milliseconds duration{0};
    /// New flows that an upstream bears in that time.
    double flows_per_second = 0;

    friend bool operator==(const cold_start_bound&, const cold_start_bound&) = default;
};

/// A service that callers reach by its name (requests) or its addresses (flows).
struct service {
    core::service_id id;
    std::string name;
    /// The name of the profile that the service runs under.
    std::string profile;
    std::vector<service_address> addresses;
    /// The neighbour that its flows are charged to and whose operators may drain its upstreams. Empty: none.
    core::neighbour owner;
    cold_start_bound cold_start;

    friend bool operator==(const service&, const service&) = default;
};

/// A service that takes new flows of a route, and its share of them relative to the other targets.
struct weighted_service {
    core::service_id service;
    std::uint32_t weight = 1;

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/// Where the flows to a public address go.
struct route {
    std::string name;
    service_address address;
    std::vector<weighted_service> targets;
    /// Services that the route named before and that may still hold flows of it.
    std::vector<core::service_id> former;
    /// How long a request may take.
    core::milliseconds request_timeout{0};
    /// Within what time requests are to be answered; 0 when the route has no such target.
    core::milliseconds latency_target{0};
    /// The plan that removed the route. The record is kept so that the route's open flows are ended.
    std::optional<std::uint64_t> withdrawn_at;

    friend bool operator==(const route&, const route&) = default;
};

/// What is known of the route plan in force besides its routes and services.
struct plan_summary {
    /// 0 before the first plan.
    std::uint64_t revision = 0;
    /// How long a flow may be idle before it may be forgotten; 0 when the plan does not say.
    core::milliseconds idle_timeout{0};

    friend bool operator==(const plan_summary&, const plan_summary&) = default;
};

/// Whether operators let traffic into a failure domain.
enum class domain_state : std::uint8_t {
    in,
    /// Its upstreams get no packets; their flows are given up.
    out,
    /// Its upstreams keep their open flows and take no new ones.
    closed,
};

/// Returns "in", "out" or "closed".
constexpr std::string_view to_string(domain_state it)
{
    switch (it) {
    case domain_state::out:
        return "out";
    case domain_state::closed:
        return "closed";
    case domain_state::in:
        break;
    }
    return "in";
}

struct domain {
    core::failure_domain name;
    domain_state state = domain_state::in;
    /// When the failure domain was in service, oldest first. Needed to find upstreams that took over flows while it was
    /// out.
    std::vector<core::version_interval> history;

    friend bool operator==(const domain&, const domain&) = default;
};

/// What the holder of a token may do.
enum class role : std::uint8_t {
    /// May send requests to services as its neighbour.
    caller,
    /// May read profiles, the services of its neighbour and those without an owner, and the usage of its neighbour.
    read,
    /// May also take failure domains in and out of service, and drain the upstreams of these services.
    operate,
    /// May also change profiles, services, tokens and the control group, and act on every service.
    administer,
};

/// A token's owner and role. Only a SHA-256 digest of the token is kept.
struct token {
    /// Lower-case hexadecimal SHA-256 of the token, 64 characters.
    std::string digest;
    core::neighbour owner;
    role granted = role::caller;

    friend bool operator==(const token&, const token&) = default;
};

} // namespace ibisdyke::configuration
