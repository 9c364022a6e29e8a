#pragma once

#include "ibisdyke/core/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ibisdyke::accounting {

/// Identifies a set of usage counters: one neighbour, service and hour.
struct usage_key {
    core::neighbour neighbour;
    std::string service;
    /// Hours since the Unix epoch.
    std::uint64_t hour = 0;

    friend bool operator==(const usage_key&, const usage_key&) = default;
    friend auto operator<=>(const usage_key&, const usage_key&) = default;
};

/// The usage under one key. The counters of an incarnation never decrease.
struct usage_counters {
    std::uint64_t flows = 0;
    std::uint64_t packets = 0;
    std::uint64_t bytes = 0;
    std::uint64_t requests = 0;
    std::uint64_t slot_milliseconds = 0;

    friend bool operator==(const usage_counters&, const usage_counters&) = default;
};

/// Returns the larger value of each counter.
usage_counters maximum(const usage_counters& left, const usage_counters& right);

usage_counters sum(const usage_counters& left, const usage_counters& right);

/// The usage counters of one agent incarnation. A later report replaces an earlier report of the same incarnation. Once
/// an incarnation has reported an hour, its counters of earlier hours are final.
struct usage_report {
    core::incarnation source;
    std::map<usage_key, usage_counters> usage;

    friend bool operator==(const usage_report&, const usage_report&) = default;
};

/// The content of one log entry: the usage that agents reported within a period and that is not recorded yet.
struct usage_batch {
    /// The hour since the Unix epoch, by the leader's clock, at which the batch was proposed.
    std::uint64_t hour = 0;
    /// At most one report of each incarnation.
    std::vector<usage_report> reports;

    friend bool operator==(const usage_batch&, const usage_batch&) = default;
};

} // namespace ibisdyke::accounting
