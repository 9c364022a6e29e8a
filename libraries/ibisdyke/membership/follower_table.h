#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/membership/lease_batch.h"
#include "ibisdyke/membership/lease_table.h"

#include <cstddef>
#include <map>
#include <unordered_map>

namespace ibisdyke::membership {

struct follower_limits {
    /// A batch that echoes an older timestamp renews no leases, because its follower may have been paused after it made
    /// the batch. The batch period of 500 ms plus 300 ms of delay.
    core::milliseconds max_batch_age{800};
    /// The list of a follower is dropped when no batch of the follower was accepted for this long.
    core::milliseconds list_retention{10'000};
    /// The control group has at most 9 members. A restarted member has a new incarnation and gets another list while
    /// its old list is still retained.
    std::size_t max_followers = 32;

    friend bool operator==(const follower_limits&, const follower_limits&) = default;
};

/// The leader's copies of the sender lists of its followers, updated by lease batches. Soft state of the leader.
class follower_table {
public:
    follower_table(const follower_limits& limits, core::time_point now)
        : limits_(limits)
        , created_at_(now)
    {
    }

    /// Merges a batch into the list of its follower and renews the leases of the listed senders. Never shortens a
    /// lease: if several followers list a sender, the latest heartbeat counts.
    lease_batch_answer on_batch(const lease_batch& it, lease_table& leases, core::time_point now);

    std::size_t size() const { return followers_.size(); }

private:
    struct follower {
        std::uint64_t last_batch_number = 0;
        core::time_point last_batch_at;
        /// The last known heartbeat of each listed sender. A sender_status updates all its fields but the usage.
        std::unordered_map<core::incarnation, heartbeat> senders;
    };

    std::uint64_t timestamp_of(core::time_point now) const;
    bool is_stale(const lease_batch& it, core::time_point now) const;
    void drop_silent_followers(core::time_point now);
    static void merge(follower& from, const lease_batch& it);
    static void renew_leases(const follower& from, const lease_batch& it, lease_table& leases, core::time_point now,
        lease_batch_answer& answer);

    follower_limits limits_;
    core::time_point created_at_;
    std::map<core::incarnation, follower> followers_;
};

} // namespace ibisdyke::membership
