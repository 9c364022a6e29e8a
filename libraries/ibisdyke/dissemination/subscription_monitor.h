#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/core/version.h"
#include "ibisdyke/dissemination/messages.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace ibisdyke::dissemination {

/// The times of a subscription.
struct subscription_limits {
    /// A feed that sent no state since it was opened is given up after this time at most; see first_message_limit().
    core::milliseconds first_message{1000};
    /// The same for the first feed of a process.
    core::milliseconds first_try{60};
    /// A feed that has been silent for this long is given up. Keep-alives come each second.
    core::milliseconds silence{1800};
    /// A feed that no control process in touch with a leader has vouched for within this time is not current.
    core::milliseconds max_age{2000};
    /// How long a feed may take to deliver a version that was seen elsewhere: versions in packets often overtake it.
    core::milliseconds hint_patience{100};
    /// How long a source may offer less than the subscriber has applied, for example while it catches up itself.
    core::milliseconds catch_up{1000};

    friend bool operator==(const subscription_limits&, const subscription_limits&) = default;
};

enum class subscription_state : std::uint8_t {
    /// Opened, and not yet heard of.
    opening,
    /// Delivers, and a control process in touch with a leader vouches for it.
    current,
    /// Delivers, but nothing vouches for it: the source is cut off from the leader.
    cut_off,
    /// Delivers nothing.
    silent,
    /// Has no state, and neither has the subscriber: the source has lost its folder, or belongs to no group yet.
    empty,
    /// Lacks a version that the subscriber has applied or that was seen elsewhere.
    behind,
};

/// Returns how long a subscriber waits for the first message of a feed after it has given up `failures` feeds in a row.
/// Short at first, because a process that has just started finds others that are only starting, and their connections
/// hang; longer later, so that a slow source is not left for ever.
core::milliseconds first_message_limit(const subscription_limits& limits, std::size_t failures);

/// Judges one feed by the messages that arrive on it.
class subscription_monitor {
public:
    subscription_monitor(const subscription_limits& limits, core::time_point now)
        : limits_(limits)
        , opened_(now)
        , last_message_(now)
    {
    }

    /// A snapshot or delta arrived that leads to `version`.
    void on_version(const core::version& version, core::time_point now);

    void on_keep_alive(const keep_alive& it, core::time_point now);

    /// A version was seen in a packet or an answer.
    void on_hint(const core::version& seen, core::time_point now);

    /// Judges the feed. `applied` is the version that the subscriber has applied.
    subscription_state state(const core::version& applied, core::time_point now) const;

    /// How long ago a control process in touch with a leader vouched for the feed; nothing when none ever did.
    std::optional<core::milliseconds> age(core::time_point now) const;

private:
    subscription_limits limits_;
    core::time_point opened_;
    core::time_point last_message_;
    /// The newest version that the source has shown; nothing until it was heard of.
    std::optional<core::version> offered_;
    /// When a control process in touch with a leader vouched for the feed.
    std::optional<core::time_point> leader_contact_;
    core::version hint_;
    core::time_point hinted_;
};

} // namespace ibisdyke::dissemination
