#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/membership/lease_batch.h"
#include "ibisdyke/membership/lease_table.h"

#include <cstddef>
#include <map>
#include <unordered_map>

namespace ibisdyke::membership {

struct follower_limits {
    /// A batch that was made longer ago vouches for nothing: it may have been delayed with its follower. A batch period
    /// and 300 ms.
    core::milliseconds max_batch_age{800};
    /// The list of a follower that was silent for this long is forgotten.
    core::milliseconds memory{10'000};
    /// The control group has at most 9 members; a restarted one has another incarnation.
    std::size_t max_followers = 32;

    friend bool operator==(const follower_limits&, const follower_limits&) = default;
};

/// The lists of senders that the followers keep, as the leader knows them. Soft state of the leader.
class follower_table {
public:
    follower_table(const follower_limits& limits, core::time_point now)
        : limits_(limits)
        , created_(now)
    {
    }

    /// Takes a batch and renews the leases of the senders that it vouches for. A sender's lease is never shortened:
    /// what counts is when any follower last heard of it.
    lease_batch_answer on_batch(const lease_batch& it, lease_table& leases, core::time_point now);

    std::size_t size() const { return followers_.size(); }

private:
    struct follower {
        std::uint64_t number = 0;
        core::time_point heard;
        std::unordered_map<core::incarnation, heartbeat> senders;
    };

    std::uint64_t timestamp_of(core::time_point now) const;
    bool is_late(const lease_batch& it, core::time_point now) const;
    void drop_lost(core::time_point now);
    static void merge(follower& known, const lease_batch& it);
    static void renew(const follower& known, const lease_batch& it, lease_table& leases, core::time_point now,
        lease_batch_answer& to);

    follower_limits limits_;
    core::time_point created_;
    std::map<core::incarnation, follower> followers_;
};

} // namespace ibisdyke::membership
