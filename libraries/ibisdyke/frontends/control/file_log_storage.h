#pragma once

#include "ibisdyke/replication/log_storage.h"

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace ibisdyke::frontends {

/// Keeps a member's vote, log and snapshot in one data folder.
///
/// Files: `identity` (the folder's incarnation), `log` (records of one persist() each), `snapshot`, and `lock`. A
/// record is its length, the CRC32 of the length, the CRC32 of the payload (32 bits each, big-endian) and the payload.
/// Since each record is synced before the next one is written, only the last one can be torn: it is cut at start. A
/// damaged record anywhere else is an error, because entries that were promised to be durable would be missing.
class file_log_storage final : public replication::log_storage {
public:
    /// Opens the folder, or creates it with a new incarnation, and makes durable what it holds. Throws
    /// core::storage_full when the disk has no room for that, and core::system_failure when the folder cannot be used,
    /// is in use by another process, or holds damaged data; the message names the file and the place.
    static std::unique_ptr<file_log_storage> create(const std::filesystem::path& folder);

    ~file_log_storage() override;
    file_log_storage(const file_log_storage&) = delete;
    file_log_storage& operator=(const file_log_storage&) = delete;
    file_log_storage(file_log_storage&&) = delete;
    file_log_storage& operator=(file_log_storage&&) = delete;

    core::incarnation disk() const override { return disk_; }
    replication::stored_state load() override;
    void persist(const replication::write_batch& batch) override;

private:
    explicit file_log_storage(std::filesystem::path folder);

    void lock();
    void open_identity();
    replication::stored_state read();
    void make_durable(const replication::stored_state& state);
    void read_log(replication::stored_state& state) const;
    void replace_file(const std::string& name, std::string_view content) const;
    void write_log(const replication::write_batch& content);
    void append(const replication::write_batch& batch);
    void cut_log();
    void sync_folder() const;
    std::filesystem::path path(const std::string& name) const { return folder_ / name; }

    std::filesystem::path folder_;
    core::incarnation disk_;
    replication::vote ballot_;
    /// What create() has read, until load() takes it.
    std::optional<replication::stored_state> opened_;
    int lock_file_ = -1;
    int log_file_ = -1;
    /// The length of the log without a record that the disk took only a part of.
    std::size_t log_bytes_ = 0;
    bool failed_ = false;
};

} // namespace ibisdyke::frontends
