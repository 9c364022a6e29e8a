#pragma once

#include "measure/experiments/running_system.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ibisdyke::measure {

/// Measures how long traffic still arrives at upstreams after they were drained, stopped or taken out of service.
class drain_latency_meter {
public:
    explicit drain_latency_meter(running_system& system)
        : system_(system)
    {
    }

    /// Begins a measurement. `accepted` is the time at which the command was accepted, or the process was sent SIGTERM.
    void start_domain(const std::string& domain, core::time_point accepted) { domain_accepted_at_[domain] = accepted; }
    void start_upstream_drain(const std::string& upstream, core::time_point accepted)
    {
        drain_accepted_at_[upstream] = accepted;
    }

    /// Completes a measurement, because the domain or upstream returns to service or ends. Does nothing when no
    /// measurement was begun.
    void finish_domain(const std::string& domain);
    void finish_upstream_drain(const std::string& upstream);
    void finish_all();

    /// Longest time from the acceptance to the last packet or request in a failure domain that was taken out, in ms.
    std::optional<double> domain_last_packet_ms() const { return domain_ms_; }
    /// Longest time from the acceptance to the last new flow or request at a draining upstream, in ms.
    std::optional<double> drain_last_new_ms() const { return drain_ms_; }

private:
    struct last_arrivals {
        core::time_point packet;
        core::time_point new_flow_or_request;
    };

    last_arrivals read_last_arrivals(const std::string& upstream);

    running_system& system_;
    std::map<std::string, core::time_point> domain_accepted_at_;
    std::map<std::string, core::time_point> drain_accepted_at_;
    std::optional<double> domain_ms_;
    std::optional<double> drain_ms_;
};

} // namespace ibisdyke::measure
