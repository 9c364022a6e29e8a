#pragma once

#include "ibisdyke/core/ids.h"
#include "ibisdyke/core/time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace ibisdyke::configuration {
struct profile;
} // namespace ibisdyke::configuration

namespace ibisdyke::admission {

/// Identifies a request within one agent process. Never reused.
using work_id = std::uint64_t;

/// The weight and the rate limit of one neighbour at one upstream.
struct neighbour_policy {
    std::uint32_t weight = 1;
    /// 0 means no limit.
    double requests_per_second = 0;
    /// Number of requests by which the neighbour may exceed the rate limit at once.
    double burst = 0;

    friend bool operator==(const neighbour_policy&, const neighbour_policy&) = default;
};

/// The settings of the admission control of one upstream.
struct admission_settings {
    std::uint32_t slots = 1;
    /// Share of the slots and of the new flows that is allowed at the beginning of a cold start, from 0 to 1.
    double cold_start_share = 0.1;
    core::milliseconds cold_start_ramp{10'000};
    std::uint32_t queue_per_slot = 2;
    core::milliseconds queue_age_limit{100};
    /// New flows per second allowed at the end of the ramp of a cold start. There is no limit after the ramp.
    double full_flows_per_second = 1'000;
    /// Neighbours without an entry have a default-constructed neighbour_policy.
    std::map<core::neighbour, neighbour_policy> neighbours;

    friend bool operator==(const admission_settings&, const admission_settings&) = default;
};

/// Returns the settings of one upstream. A neighbour's limit applies to a whole service, so each of the service's
/// `active_upstreams` enforces an equal part of it.
admission_settings create_settings(
    const configuration::profile& rules, std::uint32_t slots, std::uint32_t active_upstreams);

/// A request that asks for a slot.
struct work {
    work_id id = 0;
    core::neighbour neighbour;
    /// The request is shed when it has not started by this time.
    core::time_point deadline;

    friend bool operator==(const work&, const work&) = default;
};

/// How a request ended at the upstream, as observed by the upstream's agent.
enum class work_outcome : std::uint8_t {
    answered,
    /// The upstream refused the request or no connection could be made.
    refused,
    /// The connection was lost while the request was running.
    connection_lost,
    /// The upstream reset the request.
    failed,
    /// The caller or the agent cancelled the request.
    cancelled,
};

/// The requests to start and to shed now. Each id appears once.
struct admission_decision {
    std::vector<work_id> start;
    /// These requests have not run and will never run.
    std::vector<work_id> shed;

    friend bool operator==(const admission_decision&, const admission_decision&) = default;
};

/// The state of admission control for the state dump.
struct admission_status {
    std::uint32_t limit = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    bool cold_start = false;

    friend bool operator==(const admission_status&, const admission_status&) = default;
};

} // namespace ibisdyke::admission
