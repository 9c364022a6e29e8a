#pragma once

#include "measure/deployment/supervisor.h"

#include <map>
#include <optional>
#include <string>

namespace ibisdyke::measure {

/// Samples CPU time and memory of all daemons.
class usage_meter {
public:
    explicit usage_meter(supervisor& processes)
        : processes_(processes)
    {
    }

    /// Takes a sample. `now` is a time of read_clock().
    void sample(core::time_point now);

    /// Largest mean CPU usage of any run of a control process, in percent of a core.
    std::optional<double> control_cpu_percent() const;
    /// Largest resident memory of any daemon in any sample.
    std::optional<double> rss_mb() const;

private:
    struct usage_span {
        double first_cpu_seconds = 0;
        double last_cpu_seconds = 0;
        core::time_point first;
        core::time_point last;
    };

    supervisor& processes_;
    /// By process name and number of its start.
    std::map<std::pair<std::string, int>, usage_span> control_;
    std::optional<double> rss_mb_;
};

} // namespace ibisdyke::measure
