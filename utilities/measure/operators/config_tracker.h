#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/core/version.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ibisdyke::measure {

/// Measures how long each accepted change takes until every live process has applied it, and counts processes that
/// revert to an older version.
class config_tracker {
public:
    void add_accepted(const core::version& at, core::time_point now);

    /// Records the version that a process reports as applied. `run` is the number of the process's starts; a lower
    /// version after a restart is not a revert.
    void observe(const std::string& process, int run, const core::version& applied);

    /// Completes the pending changes that all processes of `live` have applied.
    void check_pending(const std::set<std::string>& live, core::time_point now);

    bool has_pending() const { return !pending_.empty(); }

    /// Returns the times of all changes in ascending order. A pending change counts with its time up to `now`.
    std::vector<std::int64_t> times_ms(core::time_point now) const;

    std::uint64_t reverts() const { return reverts_.size(); }
    /// Returns a line for each revert, for messages.
    const std::vector<std::string>& revert_descriptions() const { return reverts_; }

    /// Returns the live processes that have not applied all pending changes, for messages.
    std::vector<std::string> lagging_processes(const std::set<std::string>& live) const;

private:
    struct observation {
        int run = 0;
        core::version applied;
    };
    struct accepted_change {
        core::version at;
        core::time_point accepted_at;
    };

    bool in_effect(const accepted_change& it, const std::set<std::string>& live) const;

    std::map<std::string, observation> latest_;
    std::vector<accepted_change> pending_;
    std::vector<std::int64_t> completed_ms_;
    std::vector<std::string> reverts_;
};

/// Parses "TERM.INDEX". Throws core::invalid_input.
core::version parse_version(const std::string& text);

} // namespace ibisdyke::measure
