#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/membership/messages.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ibisdyke::membership {

/// The fields of a heartbeat that change often while its sender runs.
struct sender_status {
    core::incarnation sender;
    std::uint64_t sequence = 0;
    core::version applied;
    std::uint64_t open_flows = 0;
    core::version flow_watermark;
    /// See heartbeat::usage.
    std::string usage;

    friend bool operator==(const sender_status&, const sender_status&) = default;
};

/// A sender whose last heartbeat is older than sender_limits::max_fresh_age.
struct stale_sender {
    core::incarnation sender;
    /// The time since the follower received the last heartbeat.
    core::milliseconds age{0};

    friend bool operator==(const stale_sender&, const stale_sender&) = default;
};

/// A control follower's report to the leader about its senders, the processes whose heartbeats the follower receives.
/// Renews the leases of these senders. Leader and follower both keep the list of the senders. A full report holds the
/// whole list. An incremental report holds the senders that changed since a batch that the leader has accepted. It
/// holds their values, not differences, so a lost or repeated batch does no harm. Every listed sender that is not in
/// `stale` sent a heartbeat within sender_limits::max_fresh_age.
struct lease_batch {
    /// The incarnation of the follower, chosen at random when it starts.
    core::incarnation follower;
    /// Sequence number, incremented with each batch of a follower.
    std::uint64_t number = 0;
    /// The sequence number of the batch that an incremental report builds on: every change after it is included. 0 for
    /// a full report.
    std::uint64_t base = 0;
    /// Echo of the newest leader_timestamp that the follower has received, or 0 if it has none. It bounds the age of
    /// the batch, which was made after that answer.
    std::uint64_t echoed_timestamp = 0;
    /// The length of the follower's list. The leader compares it with its own list after it has merged the batch.
    std::uint64_t sender_count = 0;
    /// Senders that are new, or that changed in a field that is not part of sender_status.
    std::vector<heartbeat> full_heartbeats;
    /// Senders that changed only in their sender_status.
    std::vector<sender_status> changed;
    std::vector<stale_sender> stale;
    /// Senders that the follower has removed from its list.
    std::vector<core::incarnation> removed;

    friend bool operator==(const lease_batch&, const lease_batch&) = default;
};

enum class batch_result : std::uint8_t {
    accepted,
    /// The batch is too old, echoes no timestamp, or was overtaken by a later batch, so it renews no leases. The
    /// follower sends another batch with the timestamp of this answer.
    stale,
    /// The leader cannot merge the batch: it lacks the base, the lengths of the lists differ afterwards, or it already
    /// keeps the lists of too many followers. The follower sends a full report.
    unknown_base,
    /// The receiver is not the leader.
    not_leader,
};

/// A sender whose heartbeat the leader has refused, with the reason.
struct refused_sender {
    core::incarnation sender;
    heartbeat_result result = heartbeat_result::accepted;

    friend bool operator==(const refused_sender&, const refused_sender&) = default;
};

/// The mean number of open flows of the agents of a service.
struct service_mean {
    std::string service;
    double open_flows = 0;

    friend bool operator==(const service_mean&, const service_mean&) = default;
};

/// The leader's answer to a lease batch.
struct lease_batch_answer {
    batch_result result = batch_result::accepted;
    /// The leader's time, which the follower echoes in its next batches. Unit and epoch are private to the leader.
    std::uint64_t leader_timestamp = 0;
    /// All senders of the follower's list that the leader refuses.
    std::vector<refused_sender> refused;
    /// One entry for each service that has an accepted agent in the follower's list.
    std::vector<service_mean> means;

    friend bool operator==(const lease_batch_answer&, const lease_batch_answer&) = default;
};

} // namespace ibisdyke::membership
