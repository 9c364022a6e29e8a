#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace ibisdyke::dissemination {

/// Chooses the process to which a subscriber subscribes: first the control processes, then relays and peers if no
/// control process can serve it.
class source_selector {
public:
    /// Time for which a source that failed is avoided. next() prefers other sources, and requests name failed relays,
    /// so that the subscriber is not redirected to them.
    static constexpr core::milliseconds avoid_time{10'000};

    /// `start` is a random number, which spreads subscribers over the control processes. `own` is the endpoint at which
    /// the subscriber serves subscriptions itself; it is never chosen.
    source_selector(std::vector<core::endpoint> controls, std::vector<core::endpoint> peers,
        std::optional<core::endpoint> own, std::size_t start);

    /// Replaces the control processes.
    void set_controls(std::vector<core::endpoint> controls) { controls_ = std::move(controls); }

    /// Replaces the relays that the system state lists.
    void set_relays(std::vector<core::endpoint> relays) { relays_ = std::move(relays); }

    /// Makes next() return this process once, unless it is the subscriber itself.
    void on_redirect(const core::endpoint& target);

    /// Records that a source failed, so that it is avoided.
    void on_failure(const core::endpoint& source, core::time_point now);

    /// Records that the subscription to this source is current. Begins a new round; see next().
    void on_success(const core::endpoint& source);

    /// Returns the next source, or nothing if none is known. Repeats rounds of all control processes followed by three
    /// of the relays and peers.
    std::optional<core::endpoint> next(core::time_point now);

    /// Returns the relays and peers that failed within avoid_time.
    std::vector<core::endpoint> avoided(core::time_point now) const;

private:
    bool is_avoided(const core::endpoint& source, core::time_point now) const;
    std::optional<core::endpoint> next_control(core::time_point now);
    std::optional<core::endpoint> next_peer(core::time_point now);

    std::vector<core::endpoint> controls_;
    std::vector<core::endpoint> peers_;
    std::vector<core::endpoint> relays_;
    std::optional<core::endpoint> own_endpoint_;
    std::optional<core::endpoint> redirect_target_;
    std::map<core::endpoint, core::time_point> last_failures_;
    std::size_t next_control_index_;
    std::size_t next_peer_index_;
    /// Number of sources of the current round that next() has returned.
    std::size_t round_position_ = 0;
};

} // namespace ibisdyke::dissemination
