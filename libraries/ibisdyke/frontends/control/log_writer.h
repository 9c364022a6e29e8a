#pragma once

#include "ibisdyke/observability/counter_sink.h"
#include "ibisdyke/replication/log_storage.h"

#include <QObject>

#include <cstdint>
#include <deque>
#include <string>

namespace ibisdyke::frontends {

/// Receives notifications about the state of the log storage.
class log_writer_observer {
public:
    virtual ~log_writer_observer() = default;

    /// The disk is full. The member must not answer messages or requests until on_space_available().
    virtual void on_storage_full() = 0;
    /// The disk has space again, and all pending writes are durable.
    virtual void on_space_available() = 0;
    /// A write has failed for another reason than a full disk, so the stored data is unknown. The storage stays
    /// unusable.
    virtual void on_storage_failure(const std::string& reason) = 0;
};

/// Writes a member's log to its storage with group commit: all writes that are added before a call of flush() share one
/// sync. Retries the same writes while the disk is full. Lives on the control thread.
class log_writer : public QObject {
public:
    /// `recorded_commit_index` is the commit index in the storage. The references must outlive the writer.
    log_writer(replication::log_storage& storage, std::uint64_t recorded_commit_index, log_writer_observer& observer,
        observability::counter_sink& counters, QObject* parent);

    /// Adds writes to the next flush. A commit index in `writes` only requests that the commit index is recorded; the
    /// value comes from flush().
    void add(const replication::write_batch& writes);

    /// Makes the pending writes durable and records the commit index with them. Returns whether all of them are
    /// durable.
    bool flush(std::uint64_t commit_index);

    bool is_usable() const { return state_ == storage_state::usable; }

    /// The last commit index that was written to the storage.
    std::uint64_t recorded_commit_index() const { return recorded_commit_index_; }

private:
    enum class storage_state : std::uint8_t {
        usable,
        /// The disk is full; pending_batches_ is retried.
        full,
        /// The stored data is unknown.
        failed,
    };

    void persist_first_batch();
    void handle_full_disk(const std::string& reason);
    void mark_failed(const std::string& reason);

    replication::log_storage& storage_;
    log_writer_observer& observer_;
    observability::counter_sink& counters_;
    /// In the order of the log. Writes after a snapshot, and each snapshot, begin a new batch.
    std::deque<replication::write_batch> pending_batches_;
    storage_state state_ = storage_state::usable;
    std::uint64_t commit_index_;
    std::uint64_t recorded_commit_index_;
};

} // namespace ibisdyke::frontends
