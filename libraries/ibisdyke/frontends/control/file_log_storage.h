#pragma once

#include "ibisdyke/frontends/control/file_operations.h"
#include "ibisdyke/replication/log_storage.h"

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace ibisdyke::frontends {

/// Stores a member's vote, log and snapshot in one data folder.
///
/// The files are `identity` (the incarnation of the folder), `log` (one record for each persist()), `snapshot` and
/// `lock`. A record consists of its length, the CRC32 of the length, the CRC32 of the payload (32 bits each,
/// big-endian) and the payload. Each record is synced before the next one is written, so a crash can leave only the
/// last record incomplete; it is dropped at start. A damaged record anywhere else is an error, because entries that
/// this member has acknowledged as durable would be missing.
///
/// A disk that refuses any call because it is full is no failure: the write can be repeated. If the log file may then
/// contain more than its durable records, the next write first replaces it with a copy of these records.
class file_log_storage final : public replication::log_storage {
public:
    /// Opens the folder, or creates it with a new incarnation, and makes its content durable. Throws
    /// core::storage_full when the disk is full, and core::system_failure when the folder cannot be used, is in use by
    /// another process, or contains damaged data; the message names the file and the byte offset.
    static std::unique_ptr<file_log_storage> create(const std::filesystem::path& folder,
        std::unique_ptr<file_operations> files = std::make_unique<system_file_operations>());

    ~file_log_storage() override;
    file_log_storage(const file_log_storage&) = delete;
    file_log_storage& operator=(const file_log_storage&) = delete;
    file_log_storage(file_log_storage&&) = delete;
    file_log_storage& operator=(file_log_storage&&) = delete;

    core::incarnation incarnation() const override { return incarnation_; }
    replication::stored_state load() override;
    void persist(const replication::write_batch& batch) override;

private:
    file_log_storage(std::filesystem::path folder, std::unique_ptr<file_operations> files);

    void lock();
    void load_or_create_identity();
    replication::stored_state read_state();
    void make_durable(const replication::stored_state& state);
    void read_log(replication::stored_state& state) const;
    int write_new_file(const std::string& name, std::string_view content);
    void replace_file(const std::string& name, std::string_view content);
    void write_log(const replication::write_batch& content);
    void replace_log(std::string_view content);
    void append(const replication::write_batch& batch);
    void repair_after_full_disk();
    void sync_folder();
    std::filesystem::path path(const std::string& name) const { return folder_ / name; }

    std::filesystem::path folder_;
    std::unique_ptr<file_operations> files_;
    core::incarnation incarnation_;
    replication::term_and_vote vote_;
    /// The state that create() has read; moved out by the first load().
    std::optional<replication::stored_state> initial_state_;
    int lock_file_ = -1;
    int log_file_ = -1;
    /// The length of the log up to the last durable record.
    std::size_t log_bytes_ = 0;
    /// Whether the log file may contain more than its durable records.
    bool log_has_remains_ = false;
    /// Whether a rename in the folder may not be durable yet.
    bool folder_needs_sync_ = false;
    /// Whether a write has failed for another reason than a full disk.
    bool failed_ = false;
};

} // namespace ibisdyke::frontends
