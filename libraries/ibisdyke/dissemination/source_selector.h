#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace ibisdyke::dissemination {

/// Chooses which process a subscriber gets its feed from: control processes first, and relays and peers when none of
/// them is of use.
class source_selector {
public:
    /// How long a source that failed is not chosen again while there are others, nor redirected to.
    static constexpr core::milliseconds avoid_time{10'000};

    /// `start` spreads subscribers over the control processes; use a random number. `own` is the subscriber's own
    /// endpoint, which is never chosen.
    source_selector(std::vector<core::endpoint> controls, std::vector<core::endpoint> peers,
        std::optional<core::endpoint> own, std::size_t start);

    /// Replaces the control processes.
    void set_controls(std::vector<core::endpoint> controls) { controls_ = std::move(controls); }

    /// Replaces the relays that the system state lists.
    void set_relays(std::vector<core::endpoint> relays) { relays_ = std::move(relays); }

    /// The next subscription goes to this process.
    void on_redirect(const core::endpoint& target);

    void on_failure(const core::endpoint& source, core::time_point now);

    /// The source delivers a feed that is current.
    void on_success(const core::endpoint& source);

    /// Returns the next source, or nothing when none is known. Walks through all control processes, then three of the
    /// relays and peers, then begins again.
    std::optional<core::endpoint> next(core::time_point now);

    /// The relays that failed lately.
    std::vector<core::endpoint> avoided(core::time_point now) const;

private:
    bool is_avoided(const core::endpoint& source, core::time_point now) const;
    std::optional<core::endpoint> next_control(core::time_point now);
    std::optional<core::endpoint> next_peer(core::time_point now);

    std::vector<core::endpoint> controls_;
    std::vector<core::endpoint> peers_;
    std::vector<core::endpoint> relays_;
    std::optional<core::endpoint> own_;
    std::optional<core::endpoint> redirected_;
    std::map<core::endpoint, core::time_point> failures_;
    std::size_t next_control_;
    std::size_t next_peer_;
    /// How many sources of the present walk were tried.
    std::size_t tried_ = 0;
};

} // namespace ibisdyke::dissemination
