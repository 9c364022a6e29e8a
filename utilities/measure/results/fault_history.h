#pragma once

#include "ibisdyke/core/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ibisdyke::measure {

/// Records when upstreams exited and when failure domains were out of service. A flow that ends early because of such
/// an event does not count as broken.
class fault_history {
public:
    /// `domain_of` maps each upstream to its failure domain.
    explicit fault_history(std::map<std::string, std::string> domain_of)
        : domain_of_(std::move(domain_of))
    {
    }

    void add_exit(const std::string& upstream, core::time_point now) { exits_[upstream].push_back(now); }
    void begin_domain_absence(const std::string& domain, core::time_point now);
    void end_domain_absence(const std::string& domain, core::time_point now);

    /// Returns whether the upstream exited, or its failure domain was out of service, while the flow was open.
    bool explains_early_end(const std::string& upstream, core::time_point opened_at, core::time_point ended_at) const;

private:
    struct absence {
        core::time_point from;
        std::optional<core::time_point> to;
    };

    std::map<std::string, std::string> domain_of_;
    std::map<std::string, std::vector<core::time_point>> exits_;
    std::map<std::string, std::vector<absence>> absences_;
};

} // namespace ibisdyke::measure
