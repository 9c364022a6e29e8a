#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/routing/flow_key.h"

#include <cstdint>
#include <optional>

namespace ibisdyke::routing {

/// Sends single new flows to a failing upstream to find out whether it has recovered before the end of its pause. A
/// probe is a caller's flow and may fail, so there is one at a time, and after a failed one none for an interval. Used
/// by one thread.
class recovery_probe {
public:
    /// Time from the begin of a pause, and from a failed probe, until the next probe. Pauses that are not longer have
    /// no probes.
    static constexpr core::milliseconds interval{2'000};

    /// A probe without a response is given up after this time.
    static constexpr core::milliseconds max_wait{500};

    /// The upstream has recovered after this many responses in a row.
    static constexpr std::uint32_t min_responses = 3;

    /// Updates the state. `failing` tells whether the upstream is in a pause.
    void update(bool failing, core::time_point now);

    /// Whether the next new flow may be a probe.
    bool is_due(core::time_point now) const { return pausing_ && !flow_ && now >= next_; }

    /// Records that the upstream gets a new flow, which is a probe if one is due.
    void record_new_flow(const flow_key& flow, core::time_point now);

    /// Records a response. Returns whether the upstream has recovered.
    bool record_response(const flow_key& flow, core::time_point now);

    /// Records that the upstream has reset a flow before its response.
    void record_failure(const flow_key& flow, core::time_point now);

private:
    void fail(core::time_point now);

    bool pausing_ = false;
    core::time_point next_{};
    /// The flow of the probe in progress and when it began.
    std::optional<flow_key> flow_;
    core::time_point since_{};
    std::uint32_t responses_ = 0;
};

} // namespace ibisdyke::routing
