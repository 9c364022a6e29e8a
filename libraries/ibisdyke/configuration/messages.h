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

/// The protocol of a public address, by its IP protocol number.
enum class transport_protocol : std::uint8_t {
    tcp = 6,
    udp = 17,
};

/// A public address of a service. Packets to this address are distributed over the service's upstreams.
struct service_address {
    core::endpoint address;
    transport_protocol protocol = transport_protocol::tcp;

    friend bool operator==(const service_address&, const service_address&) = default;
    friend auto operator<=>(const service_address&, const service_address&) = default;
};

/// A neighbour's share of the upstreams of each service that uses a profile.
struct neighbour_share {
    core::neighbour name;
    /// Weight relative to other neighbours when capacity is scarce; at least 1.
    std::uint32_t weight = 1;
    /// Requests per second over all upstreams of a service; 0 means no limit.
    std::uint32_t limit_per_second = 0;
    /// Requests above the limit that are allowed at once.
    std::uint32_t burst = 0;

    friend bool operator==(const neighbour_share&, const neighbour_share&) = default;
};

/// A named set of rules that services use. Edited by operators; each edit increases `revision` by one.
struct profile {
    std::string name;
    std::uint64_t revision = 0;
    /// Share of an upstream's slots and new flows that is allowed at the beginning of a cold start, 0 to 1.
    double cold_start_share = 0.1;
    /// Time from the beginning of a cold start until full load is allowed.
    core::milliseconds cold_start_ramp{10'000};
    /// Time that the open flows of a draining upstream have to end.
    core::milliseconds drain_limit{30'000};
    /// Retries allowed as a share of recent requests, 0 to 1.
    double retry_budget = 0.1;
    /// Number of requests that may wait in an agent's queue, for each slot of its upstream.
    std::uint32_t queue_per_slot = 2;
    /// Longest wait in an agent's queue.
    core::milliseconds queue_age_limit{100};
    /// Largest share of a service's live upstreams that may be removed by expiry within 10 s, 0 to 1.
    double mass_expiry_limit = 0.5;
    std::vector<neighbour_share> neighbours;

    friend bool operator==(const profile&, const profile&) = default;
};

/// The load that the upstreams of a service can take during a cold start.
struct cold_start_bound {
    /// Time from the start of an upstream until it can take its full load; 0 if it can from the start.
    core::milliseconds duration{0};
    /// New flows per second that an upstream can take during this time.
    double flows_per_second = 0;

    friend bool operator==(const cold_start_bound&, const cold_start_bound&) = default;
};

/// A service, which callers reach by its name (requests) or its addresses (flows).
struct service {
    core::service_id id;
    std::string name;
    /// Name of the service's profile.
    std::string profile;
    std::vector<service_address> addresses;
    /// The neighbour that is charged for the service's flows and whose operators may drain its upstreams; empty if
    /// none.
    core::neighbour owner;
    cold_start_bound cold_start;
    /// Revision of the plan that no longer contains the service. The service is kept while upstreams are recorded for
    /// it, because they may have open flows. Never set for a service that operators created by itself.
    std::optional<std::uint64_t> withdrawn_at;

    friend bool operator==(const service&, const service&) = default;
};

/// A target of a route: a service that takes new flows of the route, and its weight relative to the other targets.
struct weighted_service {
    core::service_id service;
    std::uint32_t weight = 1;

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/// The services that take the flows to a public address.
struct route {
    std::string name;
    service_address address;
    std::vector<weighted_service> targets;
    /// Earlier targets, which may still have open flows of the route.
    std::vector<core::service_id> former_targets;
    /// Longest duration of a request.
    core::milliseconds request_timeout{0};
    /// Time within which requests should be answered; 0 if the route has no such target.
    core::milliseconds latency_target{0};
    /// How urgent the flows are compared with those of the service's other routes; 0 is the highest priority.
    std::uint32_t priority = 0;
    /// Revision of the plan that removed the route. The route is kept so that its open flows are ended.
    std::optional<std::uint64_t> withdrawn_at;

    friend bool operator==(const route&, const route&) = default;
};

/// The properties of the current route plan other than its routes and services.
struct plan_summary {
    /// 0 before the first plan.
    std::uint64_t revision = 0;
    /// Idle time after which the state of a flow may be discarded; 0 if the plan does not set it.
    core::milliseconds idle_timeout{0};

    friend bool operator==(const plan_summary&, const plan_summary&) = default;
};

/// The state of a failure domain, set by operators.
enum class domain_state : std::uint8_t {
    /// In service.
    in,
    /// Its upstreams get no packets, so their open flows break.
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
    /// The intervals in which the failure domain was in service, oldest first. They determine which upstreams accepted
    /// flows while it was out of service.
    std::vector<core::version_interval> history;

    friend bool operator==(const domain&, const domain&) = default;
};

/// The permissions of a token.
enum class role : std::uint8_t {
    /// May send requests to services as its neighbour.
    caller,
    /// May read profiles, the usage of its neighbour, the services of its neighbour and the services without an owner.
    read,
    /// May also set the state of failure domains, and drain the upstreams of these services.
    operate,
    /// May also change profiles, services, tokens and the control group, and act on every service.
    administer,
};

/// The owner and role of a token. Only the digest of the token is stored.
struct token {
    /// Lower-case hexadecimal SHA-256 of the token, 64 characters.
    std::string digest;
    core::neighbour owner;
    role assigned_role = role::caller;

    friend bool operator==(const token&, const token&) = default;
};

} // namespace ibisdyke::configuration
