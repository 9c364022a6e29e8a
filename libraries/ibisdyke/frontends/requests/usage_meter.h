#pragma once

#include "ibisdyke/accounting/usage_counter.h"

#include <mutex>
#include <string>

namespace ibisdyke::frontends {

/// The usage counter of an agent, shared by its request and control threads. The request thread adds the usage of
/// requests. The control thread adds the usage of flows that the packet thread has counted, and takes the reports.
class usage_meter {
public:
    explicit usage_meter(const core::incarnation& source)
        : counter_(source)
    {
    }

    void add(const core::neighbour& neighbour, const std::string& service, const accounting::usage_counters& used);

    /// An unchanged report is repeated at this interval, because a heartbeat can be lost and a leader that fails can
    /// lose reports that it received.
    static constexpr core::milliseconds repeat_period{10'000};

    /// Returns the encoded report for the next heartbeat, or an empty string when nothing has changed since the last
    /// report and no repetition is due.
    std::string take_report(core::time_point now);

    accounting::usage_report report() const;

private:
    mutable std::mutex mutex_;
    accounting::usage_counter counter_;
    std::uint64_t reported_changes_ = 0;
    core::time_point last_report_at_;
};

} // namespace ibisdyke::frontends
