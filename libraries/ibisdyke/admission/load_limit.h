#pragma once

#include "ibisdyke/admission/cold_start_detector.h"
#include "ibisdyke/admission/messages.h"

#include <optional>

namespace ibisdyke::admission {

/// The limit of the requests that run at an upstream at the same time. It is the minimum of the upstream's slots, the
/// ramp of a cold start, and an adaptive limit that decreases with refusals and increases with answers.
class load_limit {
public:
    explicit load_limit(const admission_settings& settings);

    void configure(const admission_settings& settings);

    /// Restarts the ramp at its initial share and resets the adaptive limit to the slots.
    void begin_cold_start(core::time_point now);

    void on_answer(std::chrono::nanoseconds latency, core::time_point now);

    /// `running` is the number of requests that were running when the request ended, including the request itself.
    void on_finish(work_outcome outcome, std::uint32_t running, core::time_point now);

    /// Returns the current limit, which is at least 1.
    std::uint32_t current(core::time_point now) const;

    /// Returns the share of the full load that the ramp allows, from 0 to 1.
    double share(core::time_point now) const;

    bool in_cold_start(core::time_point now) const { return share(now) < 1; }

    /// Returns the number of new flows per second that the ramp allows, or infinity outside a cold start.
    double flows_per_second(core::time_point now) const;

private:
    void halve_share(core::time_point now);

    std::uint32_t slots_;
    double initial_share_;
    core::milliseconds ramp_;
    double full_flows_per_second_;
    /// Start of the last cold start, moved when halve_share() reduces the share.
    std::optional<core::time_point> ramp_start_;
    double adaptive_limit_;
    cold_start_detector detector_;
};

} // namespace ibisdyke::admission
