#pragma once

#include "ibisdyke/core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace ibisdyke::requests {

/// Limits the retries of one service to a share of its recent requests plus a fixed rate, so that retries cannot
/// multiply an overload. Not thread-safe; `now` must never decrease.
class retry_budget {
public:
    /// Length of the sliding window over which requests and retries are counted.
    static constexpr std::size_t window_seconds = 10;
    /// Retries per second that are allowed regardless of the request rate, so that a service with few requests can
    /// retry too.
    static constexpr double base_per_second = 1;

    /// `share` is the fraction of requests that may be retried, 0 to 1.
    explicit retry_budget(double share)
        : share_(share)
    {
    }

    void configure(double share) { share_ = share; }

    void on_request(core::time_point now);

    /// Consumes one retry from the budget. Returns false if none is left.
    bool take(core::time_point now);

private:
    /// The counts of one second.
    struct slot {
        std::int64_t second = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    slot& current_slot(core::time_point now);

    double share_;
    std::array<slot, window_seconds> slots_{};
};

} // namespace ibisdyke::requests
