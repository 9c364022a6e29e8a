#pragma once

#include "ibisdyke/accounting/usage_counter.h"

#include <mutex>
#include <string>

namespace ibisdyke::frontends {

/// The usage counter of an agent, shared by its packet, request and control threads. The packet thread adds once for
/// each batch and neighbour, so the lock is taken rarely.
class usage_meter {
public:
    explicit usage_meter(const core::incarnation& source)
        : counter_(source)
    {
    }

    void add(const core::neighbour& consumer, const std::string& service, const accounting::usage_counters& used);

    /// An unchanged report is repeated this often, because a heartbeat may be lost, and so may what a leader had heard
    /// when it failed.
    static constexpr core::milliseconds repeat_period{10'000};

    /// Returns the encoded report for the next heartbeat, or an empty text when nothing changed since the last call and
    /// no repetition is due.
    std::string take_report(core::time_point now);

    accounting::usage_report report() const;

private:
    mutable std::mutex mutex_;
    accounting::usage_counter counter_;
    std::uint64_t reported_changes_ = 0;
    core::time_point reported_;
};

} // namespace ibisdyke::frontends
