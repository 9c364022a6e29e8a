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

/// What an upstream says of itself to the agent beside it.
struct announcement {
    /// Chosen by the upstream; it may keep it over a restart.
    std::string id;
    /// When the upstream started, by its own clock, in milliseconds since the Unix epoch. Tells two runs under one id
    /// apart.
    std::uint64_t born_ms = 0;
    /// Grows with each announcement of one run.
    std::uint64_t sequence = 0;
    std::string service;
    core::endpoint address;
    /// Requests that the upstream serves at the same time.
    std::uint32_t slots = 1;
    /// The upstream wants no new flows, keeps its open ones and will leave.
    bool draining = false;
    /// How much longer the upstream is in its cold start.
    core::milliseconds cold_for{0};

    friend bool operator==(const announcement&, const announcement&) = default;
};

/// Whether an upstream takes new flows.
enum class presence : std::uint8_t {
    /// Nothing was heard of it yet, or not for some time.
    absent,
    ready,
    draining,
    /// It has said that it is gone.
    left,
};

/// Returns "absent", "ready", "draining" or "left".
std::string_view to_string(presence it);

/// What an agent knows of the upstream beside it, from the upstream's announcements. Used by the control thread.
class upstream_presence {
public:
    /// An upstream that misses this many announcements takes no new flows.
    static constexpr int missed_announcements = 3;

    /// The upstream must be of `service` and take packets at `address`. It announces itself every `period`.
    upstream_presence(std::string service, const core::endpoint& address, core::milliseconds period);

    /// Takes an announcement. Returns whether it is news; a late one, one of an earlier run and one of another service
    /// or address change nothing.
    bool take(const announcement& it, core::time_point now);

    /// The upstream with this id has said that it is gone.
    void leave(const std::string& id);

    presence state(core::time_point now) const;

    /// The last announcement of the present run, or nothing.
    const std::optional<announcement>& latest() const { return latest_; }

    /// Until when the upstream is in its cold start.
    core::time_point cold_until() const { return cold_until_; }

    /// When the last announcement came.
    core::time_point heard() const { return heard_; }

    /// Grows with each run of the upstream: what an earlier run held is lost.
    std::uint64_t run() const { return run_; }

private:
    using run_key = std::pair<std::string, std::uint64_t>;

    bool is_news(const announcement& it, core::time_point now) const;

    std::string service_;
    core::endpoint address_;
    core::milliseconds period_;
    std::optional<announcement> latest_;
    /// Runs that another one has followed. Bounded.
    std::vector<run_key> former_;
    bool left_ = false;
    core::time_point heard_{};
    core::time_point cold_until_{};
    std::uint64_t run_ = 0;
};

} // namespace ibisdyke::membership
