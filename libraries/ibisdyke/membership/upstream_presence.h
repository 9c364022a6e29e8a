#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ibisdyke::membership {

/// The state that an upstream announces periodically to the agent on its host.
struct announcement {
    /// Chosen by the upstream, which may keep it across restarts.
    std::string id;
    /// When the upstream started, by its own clock, in milliseconds since the Unix epoch. Distinguishes two runs with
    /// the same id.
    std::uint64_t started_at_ms = 0;
    /// Sequence number, which increases with each announcement of a run.
    std::uint64_t sequence = 0;
    std::string service;
    core::endpoint address;
    /// The number of requests that the upstream can serve at the same time.
    std::uint32_t slots = 1;
    /// The upstream accepts no new flows, keeps its open flows and will stop.
    bool draining = false;
    /// The remaining time of the upstream's cold start.
    core::milliseconds cold_start_remaining{0};

    friend bool operator==(const announcement&, const announcement&) = default;
};

/// Whether an upstream accepts new flows. Only a `ready` upstream does.
enum class presence : std::uint8_t {
    /// No announcement was received yet, or none for some time.
    absent,
    ready,
    draining,
    /// The upstream has announced that it stopped.
    left,
};

/// Returns "absent", "ready", "draining" or "left".
std::string_view to_string(presence it);

/// Tracks the upstream on an agent's host by its announcements. Used by the control thread.
class upstream_presence {
public:
    /// An upstream gets no new flows after it was silent for longer than this many announcement periods.
    static constexpr int max_missed_announcements = 3;

    /// Tracks an upstream of `service` that receives packets at `address` and announces itself once per `period`.
    upstream_presence(std::string service, const core::endpoint& address, core::milliseconds period);

    /// Processes an announcement and returns true, or returns false and ignores it if it is late, belongs to an earlier
    /// run, or names another service or address.
    bool on_announcement(const announcement& it, core::time_point now);

    /// Processes the notice that the upstream with this id has stopped. Ignored if it is not the current upstream.
    void on_departure(const std::string& id);

    presence state(core::time_point now) const;

    /// The last announcement of the current run, if any.
    const std::optional<announcement>& latest() const { return latest_; }

    /// When the cold start of the upstream ends.
    core::time_point cold_until() const { return cold_until_; }

    /// When the last accepted announcement was received.
    core::time_point last_announcement_at() const { return last_announcement_at_; }

    /// The number of runs of the upstream so far. What an earlier run held, such as its flows, is lost.
    std::uint64_t run_count() const { return run_count_; }

private:
    using run_key = std::pair<std::string, std::uint64_t>;

    bool is_newer(const announcement& it, core::time_point now) const;

    std::string service_;
    core::endpoint address_;
    core::milliseconds period_;
    std::optional<announcement> latest_;
    /// Runs that a later run has replaced, oldest first. Bounded.
    std::vector<run_key> replaced_runs_;
    bool has_left_ = false;
    core::time_point last_announcement_at_{};
    core::time_point cold_until_{};
    std::uint64_t run_count_ = 0;
};

} // namespace ibisdyke::membership
