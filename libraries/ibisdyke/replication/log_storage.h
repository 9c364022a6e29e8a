#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/replication/messages.h"

namespace ibisdyke::replication {

/// How often a storage that was full is tried again.
constexpr core::milliseconds full_storage_retry_period{250};

/// Keeps a member's vote, log and snapshot across restarts.
class log_storage {
public:
    virtual ~log_storage() = default;

    /// The incarnation of the stored data: chosen when the storage was created, the same after each restart.
    virtual core::incarnation disk() const = 0;

    /// Returns what was made durable so far.
    virtual stored_state load() = 0;

    /// Returns once the batch is durable. Throws core::storage_full when the disk has no room for it: the call may then
    /// be made again with the same batch. Throws core::system_failure otherwise; whether the batch is durable is then
    /// unknown, and every later call throws as well.
    virtual void persist(const write_batch& batch) = 0;
};

} // namespace ibisdyke::replication
