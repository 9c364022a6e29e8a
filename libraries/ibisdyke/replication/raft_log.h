#pragma once

#include "ibisdyke/replication/messages.h"

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace ibisdyke::replication {

/// Limits of the entries before a snapshot that a log retains in memory.
struct trailing_limits {
    std::uint64_t entries = 0;
    std::size_t bytes = 0;

    friend bool operator==(const trailing_limits&, const trailing_limits&) = default;
};

/// The log of a member in memory: a snapshot and the retained entries. Entries from before the end of the snapshot may
/// be retained for members that lag by a few entries.
class raft_log {
public:
    explicit raft_log(const stored_state& stored);

    /// The position before the first retained entry.
    const core::version& start() const { return start_; }
    core::version last() const { return entries_.empty() ? start_ : entries_.back().at; }

    /// Whether the log has neither entries nor a snapshot.
    bool empty() const { return entries_.empty() && start_ == core::version{}; }

    /// The term of the entry at `index`, or 0 for an index outside the log.
    std::uint64_t term_at(std::uint64_t index) const;
    bool contains(const core::version& position) const;
    const entry& at(std::uint64_t index) const;

    /// Returns the entries from `first` on, up to `max_bytes`. The first entry is returned even if it is larger.
    std::vector<entry> slice(std::uint64_t first, std::size_t max_bytes) const;

    /// Appends an entry, replacing the entries at its index and above.
    void append(entry added);

    /// Replaces the log up to the last position of a snapshot. If the log contains this position, the entries after it
    /// and as many entries before it as `max_trailing` allows are retained. Otherwise no entry is retained.
    void compact(snapshot_pointer base, const trailing_limits& max_trailing);

    const snapshot_pointer& base() const { return base_; }

    /// The newest configuration in the log, committed or not. Has no members if the log holds no configuration.
    const group_configuration& configuration() const { return configurations_.back().second; }
    std::uint64_t configuration_index() const { return configurations_.back().first; }
    /// The configuration in effect after the entry at `index`.
    const group_configuration& configuration_at(std::uint64_t index) const;

private:
    std::uint64_t trailing_start(std::uint64_t last, const trailing_limits& max_trailing) const;

    core::version start_;
    std::deque<entry> entries_;
    snapshot_pointer base_;
    /// The configurations with the index from which each is in effect, in log order. Never empty.
    std::vector<std::pair<std::uint64_t, group_configuration>> configurations_;
};

} // namespace ibisdyke::replication
