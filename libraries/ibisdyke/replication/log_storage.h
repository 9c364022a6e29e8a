#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/replication/messages.h"

namespace ibisdyke::replication {

/// The delay before a write that failed because the storage was full is retried.
constexpr core::milliseconds full_storage_retry_period{250};

/// Durable storage for the vote, log and snapshot of a member.
class log_storage {
public:
    virtual ~log_storage() = default;

    /// The incarnation of the stored data. It is chosen when the storage is created and stays the same across restarts.
    virtual core::incarnation incarnation() const = 0;

    /// Returns the state that has been made durable.
    virtual stored_state load() = 0;

    /// Writes a batch and returns once it is durable. Throws core::storage_full if the disk has no space for the batch;
    /// the caller may then retry with the same batch. Throws core::system_failure on any other error. It is then
    /// unknown whether the batch is durable, and every later call throws as well.
    virtual void persist(const write_batch& batch) = 0;
};

} // namespace ibisdyke::replication
