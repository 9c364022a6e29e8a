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
constexpr mode_t file_mode = 0600;
constexpr const char* identity_name = "identity";
constexpr const char* log_name = "log";
constexpr const char* snapshot_name = "snapshot";
constexpr const char* lock_name = "lock";

/// Returns what a system call that has set errno could not do.
std::string describe(const std::string& action, const std::filesystem::path& file)
{
    return action + " " + file.string() + ": " + std::strerror(errno);
}

/// For calls after which nothing is known of the file: a disk without room is no special case.
[[noreturn]] void fail_for_good(const std::string& action, const std::filesystem::path& file)
{
    throw core::system_failure(describe(action, file));
}

[[noreturn]] void fail(const std::string& action, const std::filesystem::path& file)
{
    // EFBIG: the limit of a file's size takes the place of the disk's.
    if (errno == ENOSPC || errno == EDQUOT || errno == EFBIG)
        throw core::storage_full(describe(action, file));
    fail_for_good(action, file);
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
    whole,
    /// The file ends before the record does.
    cut_short,
    /// A checksum differs.
    damaged,
};

struct record {
    record_state state = record_state::cut_short;
    std::string_view payload;
    std::size_t end = 0;
};

record read_record(std::string_view bytes, std::size_t offset)
{
    const auto rest = bytes.substr(offset);
    if (rest.size() < header_bytes)
        return {record_state::cut_short, {}, bytes.size()};
    if (checksum(rest.substr(0, 4)) != read_number(rest, 4))
        return {record_state::damaged, {}, bytes.size()};
    const auto length = read_number(rest, 0);
    if (rest.size() - header_bytes < length)
        return {record_state::cut_short, {}, bytes.size()};
    const auto payload = rest.substr(header_bytes, length);
    const bool intact = checksum(payload) == read_number(rest, 8);
    return {intact ? record_state::whole : record_state::damaged, payload, offset + header_bytes + length};
}

/// Whether a whole record begins anywhere after `offset`.
bool has_record_after(std::string_view bytes, std::size_t offset)
{
    for (auto i = offset + 1; i + header_bytes < bytes.size(); ++i) {
        if (read_record(bytes, i).state == record_state::whole)
            return true;
    }
    return false;
}

/// Whether a part of the range was never written: file systems show such sectors as zeros after a power failure.
bool has_unwritten_sector(std::string_view bytes, std::size_t begin, std::size_t end)
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
        fail("cannot open", file);
    }
    std::string result;
    std::string buf(std::size_t{1} << 16, '\0');
    ssize_t n = 0;
    while ((n = ::read(descriptor, buf.data(), buf.size())) > 0)
        result.append(buf, 0, static_cast<std::size_t>(n));
    ::close(descriptor);
    if (n < 0)
        fail("cannot read", file);
    return result;
}

void write_all(int descriptor, std::string_view bytes, const std::filesystem::path& file)
{
    while (!bytes.empty()) {
        const auto n = ::write(descriptor, bytes.data(), bytes.size());
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            fail("cannot write", file);
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
}

void sync(int descriptor, const std::filesystem::path& file)
{
    // Whatever the cause, what a failed sync has left on the disk is unknown.
    if (::fdatasync(descriptor) != 0)
        fail_for_good("cannot sync", file);
}

/// Returns the payload of a file that holds one record.
std::string read_single_record(const std::filesystem::path& file, const std::string& bytes)
{
    const auto it = read_record(bytes, 0);
    if (it.state != record_state::whole || it.end != bytes.size())
        throw core::system_failure(file.string() + " is damaged; see docs/operations/control.md, \"Replace a VM\"");
    return std::string(it.payload);
}

} // namespace

std::unique_ptr<file_log_storage> file_log_storage::create(const std::filesystem::path& folder)
{
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    if (ec)
        throw core::system_failure("cannot create " + folder.string() + ": " + ec.message());
    std::unique_ptr<file_log_storage> result(new file_log_storage(folder));
    result->lock();
    result->open_identity();
    result->opened_ = result->read();
    result->make_durable(*result->opened_);
    return result;
}

file_log_storage::file_log_storage(std::filesystem::path folder)
    : folder_(std::move(folder))
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
    lock_file_ = ::open(path(lock_name).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode);
    if (lock_file_ < 0)
        fail("cannot open", path(lock_name));
    if (::flock(lock_file_, LOCK_EX | LOCK_NB) != 0)
        throw core::system_failure(folder_.string() + " is in use by another process");
}

void file_log_storage::open_identity()
{
    const auto known = read_file(path(identity_name));
    if (known) {
        disk_ = core::incarnation(std::stoull(read_single_record(path(identity_name), *known)));
        return;
    }
    if (std::filesystem::exists(path(log_name)) || std::filesystem::exists(path(snapshot_name)))
        throw core::system_failure(path(identity_name).string() + " is missing beside a log or snapshot");
    std::uint64_t number = 0;
    while (number == 0)
        number = QRandomGenerator::system()->generate64();
    disk_ = core::incarnation(number);
    replace_file(identity_name, frame(std::to_string(number)));
}

replication::stored_state file_log_storage::load()
{
    if (opened_)
        return *std::exchange(opened_, std::nullopt);
    return read();
}

replication::stored_state file_log_storage::read()
{
    replication::stored_state state;
    if (const auto bytes = read_file(path(snapshot_name)))
        state.base = std::make_shared<const replication::snapshot>(
            replication::wire::decode_snapshot(read_single_record(path(snapshot_name), *bytes)));
    read_log(state);
    ballot_ = state.ballot;
    return state;
}

/// Writes the log again: after a failed sync the page cache may show records that are not on disk. Writing them again
/// and syncing makes what this member claims to hold true.
void file_log_storage::make_durable(const replication::stored_state& state)
{
    write_log({ballot_, nullptr, state.entries, state.committed});
}

void file_log_storage::read_log(replication::stored_state& state) const
{
    const auto file = path(log_name);
    const auto bytes = read_file(file);
    if (!bytes)
        return;
    if (!bytes->starts_with(log_magic))
        throw core::system_failure(file.string() + " is not a log of this program");
    const auto covered = state.base ? state.base->last.index : 0;
    auto offset = log_magic.size();
    while (offset < bytes->size()) {
        const auto it = read_record(*bytes, offset);
        if (it.state != record_state::whole) {
            const bool last = !has_record_after(*bytes, offset);
            const bool torn = it.state == record_state::cut_short || has_unwritten_sector(*bytes, offset, it.end);
            if (!last || !torn)
                throw core::system_failure(file.string() + " is damaged at byte " + std::to_string(offset)
                    + "; see docs/operations/control.md, \"Replace a VM\"");
            observability::write_log(observability::log_level::warning, "unfinished_record_cut",
                {{"bytes", std::uint64_t{bytes->size() - offset}}, {"file", file.string()}});
            break;
        }
        const auto batch = replication::wire::decode_write_batch(it.payload);
        if (batch.ballot)
            state.ballot = *batch.ballot;
        state.committed = std::max(state.committed, batch.committed);
        for (const auto& e : batch.entries) {
            while (!state.entries.empty() && state.entries.back().at.index >= e.at.index)
                state.entries.pop_back();
            if (e.at.index > covered)
                state.entries.push_back(e);
        }
        offset = it.end;
    }
}

void file_log_storage::persist(const replication::write_batch& batch)
{
    if (failed_)
        throw core::system_failure("the data folder " + folder_.string() + " has failed before");
    // Cleared only once everything is durable, or nothing of it is written.
    failed_ = true;
    opened_.reset();
    if (batch.ballot)
        ballot_ = *batch.ballot;
    try {
        if (batch.base) {
            replace_file(snapshot_name, frame(replication::wire::encode(*batch.base)));
            write_log({ballot_, nullptr, batch.entries, batch.committed});
        } else {
            append(batch);
        }
    } catch (const core::storage_full&) {
        // A snapshot that was written before the log found no room is no harm: the log is read after it.
        failed_ = false;
        throw;
    }
    failed_ = false;
}

void file_log_storage::append(const replication::write_batch& batch)
{
    const auto bytes = frame(replication::wire::encode(batch));
    try {
        write_all(log_file_, bytes, path(log_name));
    } catch (const core::storage_full&) {
        cut_log();
        throw;
    }
    sync(log_file_, path(log_name));
    log_bytes_ += bytes.size();
}

/// Removes what was written of an unfinished record, so that the next one does not follow it.
void file_log_storage::cut_log()
{
    if (::ftruncate(log_file_, static_cast<off_t>(log_bytes_)) != 0)
        fail_for_good("cannot shorten", path(log_name));
}

void file_log_storage::write_log(const replication::write_batch& content)
{
    const auto bytes = std::string(log_magic) + frame(replication::wire::encode(content));
    replace_file(log_name, bytes);
    log_bytes_ = bytes.size();
    if (log_file_ >= 0)
        ::close(log_file_);
    log_file_ = ::open(path(log_name).c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    if (log_file_ < 0)
        fail_for_good("cannot open", path(log_name));
}

void file_log_storage::replace_file(const std::string& name, std::string_view content) const
{
    const auto aside = path(name + ".new");
    const int descriptor = ::open(aside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, file_mode);
    if (descriptor < 0)
        fail("cannot open", aside);
    try {
        write_all(descriptor, content, aside);
        sync(descriptor, aside);
    } catch (...) {
        ::close(descriptor);
        ::unlink(aside.c_str());
        throw;
    }
    ::close(descriptor);
    if (::rename(aside.c_str(), path(name).c_str()) != 0)
        fail("cannot rename", aside);
    sync_folder();
}

void file_log_storage::sync_folder() const
{
    const int descriptor = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0)
        fail_for_good("cannot open", folder_);
    const int result = ::fsync(descriptor);
    const auto cause = errno;
    ::close(descriptor);
    errno = cause;
    if (result != 0)
        fail_for_good("cannot sync", folder_);
}

} // namespace ibisdyke::frontends
