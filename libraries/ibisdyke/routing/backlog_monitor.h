#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/routing/packet_info.h"

#include <optional>

namespace ibisdyke::routing {

/// Detects that a packet thread has stood still, because its process was paused or had no processor, and decides which
/// of the packets that arrived meanwhile are still of use. Answers this load pattern: a process that was paused for
/// seconds reads seconds of SYNs at once. Their callers have given up, but each SYN that is placed counts as work of an
/// upstream, and callers who are present are refused.
///
/// Times must come from a clock that counts suspensions. Used by one thread.
class backlog_monitor {
public:
    /// A gap counts as a stall only if it is longer than this. Shorter gaps are normal for a process whose processor
    /// time is limited.
    static constexpr core::milliseconds min_stall{150};

    /// Packets that are read later than this after a stall are not part of its backlog, even if the socket was never
    /// empty in between.
    static constexpr core::milliseconds max_backlog_time{500};

    /// Records that the thread is running, after it has waited for at most `max_wait` since the last call. Returns how
    /// long it has stood still, or nothing if it has not.
    std::optional<core::milliseconds> record_progress(core::time_point now, core::milliseconds max_wait);

    /// Records that all packets that had arrived have been read.
    void record_drained() { stall_.reset(); }

    /// Whether the caller has probably sent the SYN again or given up while the thread stood still. Packets of other
    /// kinds always remain of use.
    bool is_outdated(const packet_info& packet) const;

private:
    struct stall {
        core::milliseconds length{0};
        core::time_point ended_at;
    };

    std::optional<core::time_point> last_progress_;
    /// The stall whose backlog is being read.
    std::optional<stall> stall_;
};

} // namespace ibisdyke::routing
