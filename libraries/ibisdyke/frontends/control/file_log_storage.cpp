#include "ibisdyke/frontends/control/file_log_storage.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/observability/log.h"
#include "ibisdyke/replication/wire/codec.h"

#include <QRandomGenerator>
#include <QtEndian>

#include <boost/crc.hpp>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <optional>
#include <utility>

namespace ibisdyke::frontends {

namespace {

constexpr std::size_t header_bytes = 12;
constexpr std::size_t sector_bytes = 512;
constexpr std::string_view log_magic = "ibislog1";
constexpr const char* identity_name = "identity";
constexpr const char* log_name = "log";
constexpr const char* snapshot_name = "snapshot";
constexpr const char* lock_name = "lock";

/// Returns an error message for a failed system call, with the text for errno.
std::string describe_error(const std::string& action, const std::filesystem::path& file)
{
    return action + " " + file.string() + ": " + std::strerror(errno);
}

/// Throws core::storage_full when errno says that the disk is full, otherwise core::system_failure.
[[noreturn]] void throw_storage_error(const std::string& action, const std::filesystem::path& file)
{
    // EFBIG means that the file size limit was reached, which is handled as a full disk.
    if (errno == ENOSPC || errno == EDQUOT || errno == EFBIG)
        throw core::storage_full(describe_error(action, file));
    throw core::system_failure(describe_error(action, file));
}

std::uint32_t checksum(std::string_view bytes)
{
    boost::crc_32_type crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

void append_number(std::string& out, std::uint32_t value)
{
    const auto big = qToBigEndian(value);
    out.append(reinterpret_cast<const char*>(&big), sizeof big);
}

std::uint32_t read_number(std::string_view bytes, std::size_t offset)
{
    return qFromBigEndian<std::uint32_t>(bytes.data() + offset);
}

std::string frame(std::string_view payload)
{
    std::string result;
    append_number(result, static_cast<std::uint32_t>(payload.size()));
    append_number(result, checksum(result));
    append_number(result, checksum(payload));
    result.append(payload);
    return result;
}

enum class record_state {
    valid,
    /// The file ends before the record does.
    truncated,
    /// A checksum does not match.
    damaged,
};

struct record {
    record_state state = record_state::truncated;
    std::string_view payload;
    std::size_t end = 0;
};

record read_record(std::string_view bytes, std::size_t offset)
{
    const auto remaining = bytes.substr(offset);
    if (remaining.size() < header_bytes)
        return {record_state::truncated, {}, bytes.size()};
    if (checksum(remaining.substr(0, 4)) != read_number(remaining, 4))
        return {record_state::damaged, {}, bytes.size()};
    const auto length = read_number(remaining, 0);
    if (remaining.size() - header_bytes < length)
        return {record_state::truncated, {}, bytes.size()};
    const auto payload = remaining.substr(header_bytes, length);
    const bool intact = checksum(payload) == read_number(remaining, 8);
    return {intact ? record_state::valid : record_state::damaged, payload, offset + header_bytes + length};
}

/// Whether a valid record begins anywhere after `offset`.
bool has_valid_record_after(std::string_view bytes, std::size_t offset)
{
    for (auto i = offset + 1; i + header_bytes < bytes.size(); ++i) {
        if (read_record(bytes, i).state == record_state::valid)
            return true;
    }
    return false;
}

/// Whether the part of a sector within the range is all zeros. After a power failure, file systems show sectors that
/// were never written as zeros.
bool has_zeroed_sector(std::string_view bytes, std::size_t begin, std::size_t end)
{
    for (auto sector = begin / sector_bytes * sector_bytes; sector < end; sector += sector_bytes) {
        const auto first = std::max(sector, begin);
        const auto part = bytes.substr(first, std::min(sector + sector_bytes, end) - first);
        if (std::all_of(part.begin(), part.end(), [](char c) { return c == '\0'; }))
            return true;
    }
    return false;
}

std::optional<std::string> read_file(const std::filesystem::path& file)
{
    const int descriptor = ::open(file.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) {
        if (errno == ENOENT)
            return std::nullopt;
        throw_storage_error("cannot open", file);
    }
    std::string result;
    std::string buf(std::size_t{1} << 16, '\0');
    ssize_t n = 0;
    while ((n = ::read(descriptor, buf.data(), buf.size())) > 0)
        result.append(buf, 0, static_cast<std::size_t>(n));
    ::close(descriptor);
    if (n < 0)
        throw_storage_error("cannot read", file);
    return result;
}

void write_all(file_operations& files, int descriptor, std::string_view bytes, const std::filesystem::path& file)
{
    while (!bytes.empty()) {
        const auto n = files.write(descriptor, bytes.data(), bytes.size());
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            throw_storage_error("cannot write", file);
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
}

void sync(file_operations& files, int descriptor, const std::filesystem::path& file)
{
    if (files.fdatasync(descriptor) != 0)
        throw_storage_error("cannot sync", file);
}

/// Returns the payload of a file that must contain exactly one valid record.
std::string read_single_record(const std::filesystem::path& file, const std::string& bytes)
{
    const auto it = read_record(bytes, 0);
    if (it.state != record_state::valid || it.end != bytes.size())
        throw core::system_failure(file.string() + " is damaged; see docs/operations/control.md, \"Replace a VM\"");
    return std::string(it.payload);
}

} // namespace

std::unique_ptr<file_log_storage> file_log_storage::create(
    const std::filesystem::path& folder, std::unique_ptr<file_operations> files)
{
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    if (ec) {
        errno = ec.value();
        throw_storage_error("cannot create", folder);
    }
    std::unique_ptr<file_log_storage> result(new file_log_storage(folder, std::move(files)));
    result->lock();
    result->load_or_create_identity();
    result->initial_state_ = result->read_state();
    result->make_durable(*result->initial_state_);
    return result;
}

file_log_storage::file_log_storage(std::filesystem::path folder, std::unique_ptr<file_operations> files)
    : folder_(std::move(folder))
    , files_(std::move(files))
{
}

file_log_storage::~file_log_storage()
{
    if (log_file_ >= 0)
        ::close(log_file_);
    if (lock_file_ >= 0)
        ::close(lock_file_);
}

void file_log_storage::lock()
{
    lock_file_ = files_->open(path(lock_name), O_RDWR);
    if (lock_file_ < 0)
        throw_storage_error("cannot open", path(lock_name));
    if (::flock(lock_file_, LOCK_EX | LOCK_NB) != 0)
        throw core::system_failure(folder_.string() + " is in use by another process");
}

void file_log_storage::load_or_create_identity()
{
    const auto known = read_file(path(identity_name));
    if (known) {
        incarnation_ = core::incarnation(std::stoull(read_single_record(path(identity_name), *known)));
        return;
    }
    if (std::filesystem::exists(path(log_name)) || std::filesystem::exists(path(snapshot_name)))
        throw core::system_failure(path(identity_name).string() + " is missing beside a log or snapshot");
    std::uint64_t number = 0;
    while (number == 0)
        number = QRandomGenerator::system()->generate64();
    incarnation_ = core::incarnation(number);
    replace_file(identity_name, frame(std::to_string(number)));
}

replication::stored_state file_log_storage::load()
{
    if (initial_state_)
        return *std::exchange(initial_state_, std::nullopt);
    return read_state();
}

replication::stored_state file_log_storage::read_state()
{
    replication::stored_state state;
    if (const auto bytes = read_file(path(snapshot_name)))
        state.base = std::make_shared<const replication::snapshot>(
            replication::wire::decode_snapshot(read_single_record(path(snapshot_name), *bytes)));
    read_log(state);
    vote_ = state.vote;
    return state;
}

/// Rewrites and syncs the log. After a failed sync, the page cache may show records that are not on disk, so the
/// entries that were read are not yet known to be durable.
void file_log_storage::make_durable(const replication::stored_state& state)
{
    write_log({vote_, nullptr, state.entries, state.commit_index});
}

void file_log_storage::read_log(replication::stored_state& state) const
{
    const auto file = path(log_name);
    const auto bytes = read_file(file);
    if (!bytes)
        return;
    if (!bytes->starts_with(log_magic))
        throw core::system_failure(file.string() + " is not a log of this program");
    const auto snapshot_index = state.base ? state.base->last.index : 0;
    auto offset = log_magic.size();
    while (offset < bytes->size()) {
        const auto it = read_record(*bytes, offset);
        if (it.state != record_state::valid) {
            const bool is_last = !has_valid_record_after(*bytes, offset);
            const bool is_torn = it.state == record_state::truncated || has_zeroed_sector(*bytes, offset, it.end);
            if (!is_last || !is_torn)
                throw core::system_failure(file.string() + " is damaged at byte " + std::to_string(offset)
                    + "; see docs/operations/control.md, \"Replace a VM\"");
            observability::write_log(observability::log_level::warning, "unfinished_record_cut",
                {{"bytes", std::uint64_t{bytes->size() - offset}}, {"file", file.string()}});
            break;
        }
        const auto batch = replication::wire::decode_write_batch(it.payload);
        if (batch.vote)
            state.vote = *batch.vote;
        state.commit_index = std::max(state.commit_index, batch.commit_index);
        for (const auto& e : batch.entries) {
            while (!state.entries.empty() && state.entries.back().at.index >= e.at.index)
                state.entries.pop_back();
            if (e.at.index > snapshot_index)
                state.entries.push_back(e);
        }
        offset = it.end;
    }
}

void file_log_storage::persist(const replication::write_batch& batch)
{
    if (failed_)
        throw core::system_failure("an earlier write to the data folder " + folder_.string() + " has failed");
    // Reset only when the whole batch is durable, or when the disk is full, which leaves the folder consistent.
    failed_ = true;
    initial_state_.reset();
    if (batch.vote)
        vote_ = *batch.vote;
    try {
        repair_after_full_disk();
        if (batch.base) {
            replace_file(snapshot_name, frame(replication::wire::encode(*batch.base)));
            write_log({vote_, nullptr, batch.entries, batch.commit_index});
        } else {
            append(batch);
        }
    } catch (const core::storage_full&) {
        // The snapshot may already be replaced while the log is not. That is harmless, because entries that the
        // snapshot covers are skipped when the log is read.
        failed_ = false;
        throw;
    }
    failed_ = false;
}

void file_log_storage::append(const replication::write_batch& batch)
{
    const auto bytes = frame(replication::wire::encode(batch));
    log_has_remains_ = true;
    try {
        write_all(*files_, log_file_, bytes, path(log_name));
    } catch (const core::storage_full&) {
        log_has_remains_ = files_->ftruncate(log_file_, log_bytes_) != 0;
        throw;
    }
    sync(*files_, log_file_, path(log_name));
    log_bytes_ += bytes.size();
    log_has_remains_ = false;
}

/// Brings the folder back into a state in which a record can be appended. After a sync that failed, the page cache may
/// show a record as written that is not on the disk, and a later sync would not report that. The durable records are
/// therefore copied to a new file.
void file_log_storage::repair_after_full_disk()
{
    if (folder_needs_sync_)
        sync_folder();
    if (!log_has_remains_)
        return;
    auto bytes = read_file(path(log_name));
    if (!bytes || bytes->size() < log_bytes_)
        throw core::system_failure(path(log_name).string() + " is shorter than its durable records");
    bytes->resize(log_bytes_);
    replace_log(*bytes);
}

void file_log_storage::write_log(const replication::write_batch& content)
{
    replace_log(std::string(log_magic) + frame(replication::wire::encode(content)));
}

/// Replaces the log file, and appends to the new file from now on.
void file_log_storage::replace_log(std::string_view content)
{
    const int descriptor = write_new_file(log_name, content);
    if (log_file_ >= 0)
        ::close(log_file_);
    log_file_ = descriptor;
    log_bytes_ = content.size();
    log_has_remains_ = false;
    sync_folder();
}

void file_log_storage::replace_file(const std::string& name, std::string_view content)
{
    ::close(write_new_file(name, content));
    sync_folder();
}

/// Writes and syncs a file and gives it its name, which is durable after sync_folder(). Returns a descriptor that
/// appends to the file.
int file_log_storage::write_new_file(const std::string& name, std::string_view content)
{
    const auto temporary = path(name + ".new");
    const int descriptor = files_->open(temporary, O_WRONLY | O_APPEND | O_TRUNC);
    if (descriptor < 0)
        throw_storage_error("cannot open", temporary);
    try {
        write_all(*files_, descriptor, content, temporary);
        sync(*files_, descriptor, temporary);
        if (files_->rename(temporary, path(name)) != 0)
            throw_storage_error("cannot rename", temporary);
    } catch (...) {
        ::close(descriptor);
        // A file that cannot be removed is overwritten by the next attempt.
        static_cast<void>(files_->unlink(temporary));
        throw;
    }
    folder_needs_sync_ = true;
    return descriptor;
}

void file_log_storage::sync_folder()
{
    if (files_->sync_folder(folder_) != 0)
        throw_storage_error("cannot sync", folder_);
    folder_needs_sync_ = false;
}

} // namespace ibisdyke::frontends
