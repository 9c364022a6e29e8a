#pragma once

#include "ibisdyke/observability/counter_sink.h"
#include "ibisdyke/replication/log_storage.h"

#include <QObject>

#include <cstdint>
#include <deque>
#include <string>

namespace ibisdyke::frontends {

/// Learns what becomes of the storage.
class log_writer_observer {
public:
    virtual ~log_writer_observer() = default;

    /// The disk has no room. Nothing may be answered until on_space_available().
    virtual void on_storage_full() = 0;
    /// Everything that waited is durable.
    virtual void on_space_available() = 0;
    /// What the storage holds is unknown, for good.
    virtual void on_storage_failure(const std::string& why) = 0;
};

/// Takes a member's writes to its storage. Writes that are added before the next call of write_out() are joined, so
/// that one sync is enough for them. When the disk is full, the same writes are tried again until there is room. Lives
/// on the control thread.
class log_writer : public QObject {
public:
    /// `recorded_commit` is what the storage holds. The references must outlive the writer.
    log_writer(replication::log_storage& storage, std::uint64_t recorded_commit, log_writer_observer& observer,
        observability::counter_sink& counters, QObject* parent);

    /// The commit of `writes` only says that it is to be recorded; write_out() names the one that is.
    void add(const replication::write_batch& writes);

    /// Makes what waits durable and records the commit with it. Returns whether nothing waits any more.
    bool write_out(std::uint64_t committed);

    bool is_usable() const { return state_ == storage_state::usable; }

    /// The commit that the storage knows of.
    std::uint64_t recorded_commit() const { return recorded_commit_; }

private:
    enum class storage_state : std::uint8_t {
        usable,
        /// The disk has no room: unwritten_ is written later.
        full,
        /// What the storage holds is unknown.
        failed,
    };

    void write_first();
    void wait_for_room(const std::string& why);
    void fail(const std::string& why);

    replication::log_storage& storage_;
    log_writer_observer& observer_;
    observability::counter_sink& counters_;
    /// In order; a snapshot begins a batch of its own.
    std::deque<replication::write_batch> unwritten_;
    storage_state state_ = storage_state::usable;
    std::uint64_t committed_;
    std::uint64_t recorded_commit_;
};

} // namespace ibisdyke::frontends
