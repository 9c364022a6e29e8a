#pragma once

#include "measure/trace/trace.h"

#include <string>
#include <vector>

namespace ibisdyke::measure {

/// The experiments by name: the trace files in the examples folder, and "random" for random schedules.
class experiment_catalogue {
public:
    explicit experiment_catalogue(std::string folder)
        : folder_(std::move(folder))
    {
    }

    std::vector<std::string> names() const;

    /// Returns the experiment's trace. `seed` and `seconds` affect random schedules only; 0 means the default.
    /// Throws core::invalid_input for an unknown name.
    trace create(const std::string& name, std::uint64_t seed, std::uint64_t seconds) const;

private:
    std::string folder_;
};

} // namespace ibisdyke::measure
