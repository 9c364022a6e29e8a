#pragma once

#include "ibisdyke/dissemination/messages.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace ibisdyke::dissemination {

/// A subscriber of this process.
struct subscriber {
    std::uint64_t id = 0;
    /// Endpoint at which the subscriber serves subscriptions, if it is a relay.
    std::optional<core::endpoint> relay;
    /// Number of relays and of other subscribers (leaves of the tree) that were redirected to this subscriber. Counted
    /// separately, because a branch without relays cannot grow.
    std::size_t redirected_relays = 0;
    std::size_t redirected_leaves = 0;

    friend bool operator==(const subscriber&, const subscriber&) = default;
};

/// Number of subscribers that a process serves itself if relays can serve the others.
constexpr std::size_t default_max_subscribers = 12;

/// The decision on a request to subscribe.
struct assignment {
    /// Relay to which the new subscriber is redirected. If empty, this process serves the new subscriber.
    std::optional<core::endpoint> redirect_to;
    /// Id of a current subscriber whose place the new subscriber takes. It is redirected to the new subscriber.
    std::optional<std::uint64_t> displaced_subscriber;

    friend bool operator==(const assignment&, const assignment&) = default;
};

/// Counts that the sender of the request was redirected to `target`.
void count_redirect(const subscribe_request& request, subscriber& target);

/// Decides on a request to subscribe. A process redirects only to relays among its own subscribers, so that the
/// subscriptions form a tree. At the limit, a relay takes the place of a subscriber that is not a relay, so that the
/// tree can grow. If there is no relay to redirect to, the process serves the subscriber beyond the limit.
assignment assign(
    const subscribe_request& request, const std::vector<subscriber>& subscribers, std::size_t max_subscribers);

} // namespace ibisdyke::dissemination
