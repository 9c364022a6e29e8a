#pragma once

#include "ibisdyke/core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace ibisdyke::membership {

/// Identifies a run of an upstream, from its start to its end.
struct upstream_run {
    /// Chosen by the upstream, which may keep it across restarts.
    std::string id;
    /// When the run began, by the upstream's clock, in milliseconds since the Unix epoch.
    std::uint64_t started_at_ms = 0;

    friend bool operator==(const upstream_run&, const upstream_run&) = default;
};

/// Collects announcements that show whether a run is alive at present. One announcement alone shows nothing, because it
/// may have been held up on the network, and several that were held up may arrive together. A run that lives announces
/// itself again and again, some time apart and with rising sequence numbers.
class liveness_evidence {
public:
    /// Announcements count only if they are at least `min_gap` apart.
    explicit liveness_evidence(core::milliseconds min_gap)
        : min_gap_(min_gap)
    {
    }

    /// Adds an announcement and returns how many of its run count, including this one. An announcement of another run
    /// discards the earlier ones.
    std::size_t add(const upstream_run& run, std::uint64_t sequence, core::time_point now);

    void reset() { last_.reset(); }

private:
    struct counted_announcement {
        upstream_run run;
        std::uint64_t sequence = 0;
        core::time_point received_at;
        std::size_t count = 0;
    };

    core::milliseconds min_gap_;
    /// The last announcement that counts.
    std::optional<counted_announcement> last_;
};

} // namespace ibisdyke::membership
