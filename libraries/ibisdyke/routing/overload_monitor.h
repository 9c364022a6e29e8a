#pragma once

#include "ibisdyke/core/time.h"

#include <optional>

namespace ibisdyke::routing {

/// Decides whether an overloaded upstream is likely to have a free slot at a caller's next retransmission of its SYN.
/// If it is not, the caller is better off with a rejection at once, after which it may try elsewhere or again.
///
/// Answers two load patterns. An overload that has lasted for longer than a caller goes on retransmitting will probably
/// last further. And after an outage all callers return at once: those who were turned away before take the slots for
/// longer than one caller retransmits, so waiting for a retransmission only makes the response of a new caller late.
class overload_monitor {
public:
    /// An upstream that has had no free slot for this long is unlikely to have one at the next retransmission. Equal to
    /// the time from a caller's first SYN to its last retransmission.
    static constexpr core::milliseconds sustained_overload{600};

    /// For this time after a start, callers who were turned away during the outage may return: a caller gives up an
    /// attempt after 1.4 s without an answer and sends the SYN of the next attempt for another 0.6 s.
    static constexpr core::milliseconds return_time{2000};

    /// Records that the upstream, or the agent beside it, has started.
    void record_start(core::time_point now) { started_at_ = now; }

    /// Whether an upstream that has had no free slot since `busy_since` will probably stay overloaded. `busy_since` is
    /// empty while a slot is free.
    bool is_lasting(const std::optional<core::time_point>& busy_since, core::time_point now) const;

private:
    std::optional<core::time_point> started_at_;
};

} // namespace ibisdyke::routing
