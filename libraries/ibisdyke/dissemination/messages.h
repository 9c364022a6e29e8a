#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/core/version.h"
#include "ibisdyke/dissemination/delta.h"
#include "ibisdyke/dissemination/system_state.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ibisdyke::dissemination {

/// Opens a subscription.
struct subscribe_request {
    /// The version that the subscriber has applied; the default version asks for a snapshot.
    core::version applied;
    /// Name of the process, for operators.
    std::string name;
    /// Where the subscriber itself serves subscriptions, when it does.
    std::optional<core::endpoint> relay;
    /// Relays that have lately failed the subscriber; it is not redirected to them.
    std::vector<core::endpoint> avoid;

    friend bool operator==(const subscribe_request&, const subscribe_request&) = default;
};

/// Sent each second, so that a subscriber can tell a feed without changes from one that is cut off.
struct keep_alive {
    /// The newest version that the sender holds.
    core::version latest;
    /// How long ago a control process that was in touch with a leader vouched for this feed. Relays add the time that
    /// has passed since they heard it, so that relays that only feed each other are found out.
    core::milliseconds age{0};

    friend bool operator==(const keep_alive&, const keep_alive&) = default;
};

/// Ends a subscription that another process is to serve.
struct redirect {
    core::endpoint target;

    friend bool operator==(const redirect&, const redirect&) = default;
};

/// One message of a subscription: a snapshot, a delta, or about the feed itself.
using subscription_message = std::variant<system_state_snapshot, delta, keep_alive, redirect>;

} // namespace ibisdyke::dissemination
