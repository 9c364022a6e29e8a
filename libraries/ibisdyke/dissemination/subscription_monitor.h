#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/core/version.h"
#include "ibisdyke/dissemination/messages.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace ibisdyke::dissemination {

/// Time limits of a subscription.
struct subscription_limits {
    /// Longest wait for the first message of a subscription, and for a first version if the subscriber has none; see
    /// first_message_limit().
    core::milliseconds max_first_message{1000};
    /// Shortest wait for the first message, used after few failures; see first_message_limit().
    core::milliseconds min_first_message{60};
    /// The same for a subscriber that has a state, which can work on for a while, and for a subscription whose
    /// connection is established. When all subscribers of a fleet come at once, short waits keep a slow control process
    /// busy with subscriptions that are given up.
    core::milliseconds min_first_message_of_busy_source{500};
    /// A subscription without any message for this long is silent. Keep-alives are sent each second.
    core::milliseconds silence_timeout{1800};
    /// A subscription is current only if a control process in contact with the leader confirmed it within this time.
    core::milliseconds max_age{2000};
    /// Time in which the source must deliver a version that the subscriber has seen elsewhere. Packets often carry a
    /// new version before the delta arrives. This is the value for a small group; see delivery_limit().
    core::milliseconds delivery_timeout{100};
    /// Longest time to deliver such a version. Less than the time until a source without messages is silent.
    core::milliseconds max_delivery_timeout{1000};
    /// Time in which a source must reach the version that the subscriber has applied. A source may be older at first,
    /// for example while it catches up itself.
    core::milliseconds catch_up_timeout{1000};

    friend bool operator==(const subscription_limits&, const subscription_limits&) = default;
};

enum class subscription_state : std::uint8_t {
    /// Opened; no message has arrived yet.
    opening,
    /// Messages arrive, and a control process in contact with the leader has confirmed the state recently.
    current,
    /// Messages arrive, but without a recent confirmation, because the source is cut off from the leader.
    cut_off,
    /// No messages arrive.
    silent,
    /// Neither the source nor the subscriber has a state. The source has lost its data folder or does not belong to a
    /// control group yet.
    empty,
    /// The source has not delivered a version that the subscriber has applied or has seen elsewhere.
    behind,
};

/// Returns how long a subscriber waits for the first message of a subscription after `failures` failed subscriptions in
/// a row. The wait of a subscriber without a state is short at first: when processes start together, connections to
/// those that are not ready yet hang. It grows with the failures, so that a slow source eventually has enough time to
/// answer.
core::milliseconds first_message_limit(const subscription_limits& limits, std::size_t failures, bool has_state);

/// Returns the limits with the wait for the first message that applies after `failures` failed subscriptions in a row.
subscription_limits limits_after_failures(subscription_limits limits, std::size_t failures, bool has_state);

/// Returns the time in which a source must deliver a version that a subscriber has seen elsewhere, in a system with
/// this many subscribers. A source takes longer for a large change the more subscribers it has. When they all leave it
/// before it is done, they ask the others for the same change, which then take too long as well.
core::milliseconds delivery_limit(const subscription_limits& limits, std::size_t subscribers);

/// Determines the state of one subscription from the messages that arrive on it.
class subscription_monitor {
public:
    subscription_monitor(const subscription_limits& limits, core::time_point now)
        : limits_(limits)
        , opened_at_(now)
        , last_message_at_(now)
    {
    }

    /// Records that the connection to the source is established, so that the source runs and only has to answer.
    void on_connected();

    /// Records the arrival of a snapshot or delta that ends at `version`.
    void on_version(const core::version& version, core::time_point now);

    /// Records the arrival of a keep-alive.
    void on_keep_alive(const keep_alive& it, core::time_point now);

    /// Records a version that the subscriber has seen elsewhere, for example in a packet or an answer.
    void on_version_seen(const core::version& seen, core::time_point now);

    /// Returns the state of the subscription. `applied` is the version that the subscriber has applied.
    subscription_state state(const core::version& applied, core::time_point now) const;

    /// Returns the time since a control process in contact with the leader confirmed the subscription, or nothing if no
    /// confirmation has arrived.
    std::optional<core::milliseconds> age(core::time_point now) const;

private:
    subscription_limits limits_;
    core::time_point opened_at_;
    core::time_point last_message_at_;
    /// The newest version that the source has sent or named; nothing before the first message.
    std::optional<core::version> source_version_;
    /// When a control process in contact with the leader last confirmed the subscription.
    std::optional<core::time_point> leader_contact_;
    /// The newest version passed to on_version_seen(), and when it was first passed.
    core::version seen_version_;
    core::time_point seen_version_at_;
};

} // namespace ibisdyke::dissemination
