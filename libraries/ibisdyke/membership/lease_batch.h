#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/membership/messages.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ibisdyke::membership {

/// What changes from heartbeat to heartbeat of one sender.
struct sender_status {
    core::incarnation sender;
    std::uint64_t sequence = 0;
    core::version applied;
    std::uint64_t open_flows = 0;
    core::version flow_watermark;
    /// As in heartbeat.
    std::string usage;

    friend bool operator==(const sender_status&, const sender_status&) = default;
};

/// A sender that was not heard of for longer than a heartbeat period.
struct silent_sender {
    core::incarnation sender;
    core::milliseconds age{0};

    friend bool operator==(const silent_sender&, const silent_sender&) = default;
};

/// What a control follower tells the leader about the senders that send their heartbeats to it. Batches hold whole
/// values and build on one that the leader has, so that lost and repeated ones do no harm. Every sender of the list
/// that is not in `silent` was heard of within sender_limits::fresh.
struct lease_batch {
    /// Chosen by the follower at start.
    core::incarnation follower;
    /// Grows by one with each batch of a follower.
    std::uint64_t number = 0;
    /// All changes after this batch are included; 0 for a complete list.
    std::uint64_t base = 0;
    /// The stamp of the leader's last answer: this batch was made after it.
    std::uint64_t echoed_timestamp = 0;
    /// The length of the list after this batch.
    std::uint64_t senders = 0;
    /// Senders that are new or changed more than their facts.
    std::vector<heartbeat> joined;
    std::vector<sender_status> changed;
    std::vector<silent_sender> silent;
    std::vector<core::incarnation> ended;

    friend bool operator==(const lease_batch&, const lease_batch&) = default;
};

enum class batch_result : std::uint8_t {
    taken,
    /// Too old, or without a stamp: it vouches for nothing. The follower sends again with the stamp of the answer.
    late,
    /// The leader does not have the batch that this one builds on. The follower sends its complete list.
    unknown_base,
    /// The receiver does not lead.
    no_leader,
};

/// A sender that the leader does not accept.
struct refused_sender {
    core::incarnation sender;
    heartbeat_result result = heartbeat_result::accepted;

    friend bool operator==(const refused_sender&, const refused_sender&) = default;
};

struct service_mean {
    std::string service;
    double open_flows = 0;

    friend bool operator==(const service_mean&, const service_mean&) = default;
};

struct lease_batch_answer {
    batch_result result = batch_result::taken;
    /// The leader's time, in a unit and from an origin of its own.
    std::uint64_t leader_timestamp = 0;
    /// All refused senders of the list.
    std::vector<refused_sender> refused;
    /// Mean counts of open flows of the services that the list's agents serve.
    std::vector<service_mean> means;

    friend bool operator==(const lease_batch_answer&, const lease_batch_answer&) = default;
};

} // namespace ibisdyke::membership
