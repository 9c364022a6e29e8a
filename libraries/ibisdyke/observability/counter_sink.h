#pragma once

#include <cstdint>
#include <string_view>

namespace ibisdyke::observability {

/// Receives counts and samples. Thread-safe.
class counter_sink {
public:
    virtual ~counter_sink() = default;

    /// Adds `n` to the counter with the given name, for example "packets_delivered".
    virtual void add(std::string_view name, std::uint64_t n) = 0;

    /// Adds a sample to the distribution with the given name, for example "request_latency_ms". The name ends with the
    /// unit.
    virtual void sample(std::string_view name, double value) = 0;
};

} // namespace ibisdyke::observability
