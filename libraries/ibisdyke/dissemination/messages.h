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
    /// The version that the subscriber has applied. The default version requests a snapshot.
    core::version applied;
    /// Name of the subscribing process, shown to operators.
    std::string name;
    /// Endpoint at which the subscriber serves subscriptions, if it is a relay.
    std::optional<core::endpoint> relay;
    /// Relays that recently failed to serve the subscriber, which is not redirected to them.
    std::vector<core::endpoint> avoid;
    /// Whether the subscriber reads compressed deltas.
    bool reads_compressed_deltas = false;

    friend bool operator==(const subscribe_request&, const subscribe_request&) = default;
};

/// Sent each second, so that a subscriber can distinguish a subscription without changes from one whose source is cut
/// off.
struct keep_alive {
    /// The newest version that the sender has.
    core::version latest;
    /// Time since a control process in contact with the leader confirmed the state of this subscription. A relay adds
    /// the time since it received the confirmation, so that the age grows when relays get the state only from each
    /// other.
    core::milliseconds age{0};

    friend bool operator==(const keep_alive&, const keep_alive&) = default;
};

/// Ends a subscription and names the process to which the subscriber must subscribe instead.
struct redirect {
    core::endpoint target;

    friend bool operator==(const redirect&, const redirect&) = default;
};

/// One message of a subscription: a part of the state (snapshot or delta), or a message about the subscription itself.
using subscription_message = std::variant<system_state_snapshot, delta, keep_alive, redirect>;

} // namespace ibisdyke::dissemination
