#include "ibisdyke/core/error.h"
#include "ibisdyke/frontends/control/file_log_storage.h"

#include <QTemporaryDir>

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <sys/stat.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace ibisdyke;
using namespace ibisdyke::replication;
using frontends::file_log_storage;

namespace {

enum class call {
    open,
    write,
    fdatasync,
    ftruncate,
    rename,
    unlink,
    sync_folder,
};

/// The disk of one data folder. Refuses chosen calls as a full disk does, and remembers which bytes are not durable.
struct disk {
    /// The calls that are refused while `refusals` is above 0.
    std::vector<call> refused;
    /// Number of refused calls that are still to come.
    int refusals = 0;
    /// Number of calls in `refused` that succeed before the first refusal.
    int skipped = 0;
    /// The length of each file, by its inode, that is known to be durable.
    std::map<ino_t, off_t> durable_bytes;
    /// Inodes of files with bytes that a failed sync has lost.
    std::set<ino_t> lossy_files;

    bool refuses(call it)
    {
        if (refusals == 0 || std::find(refused.begin(), refused.end(), it) == refused.end())
            return false;
        if (skipped > 0) {
            --skipped;
            return false;
        }
        --refusals;
        errno = ENOSPC;
        return true;
    }
};

struct stat status_of(int descriptor)
{
    struct stat result { };
    REQUIRE(::fstat(descriptor, &result) == 0);
    return result;
}

class refusing_file_operations final : public frontends::file_operations {
public:
    explicit refusing_file_operations(disk& of)
        : disk_(of)
    {
    }

    int open(const std::filesystem::path& file, int flags) override
    {
        if (disk_.refuses(call::open))
            return -1;
        const int result = system_.open(file, flags);
        // The inode may have belonged to a file that was removed.
        if ((flags & O_TRUNC) != 0) {
            const auto inode = status_of(result).st_ino;
            disk_.durable_bytes.erase(inode);
            disk_.lossy_files.erase(inode);
        }
        return result;
    }

    std::ptrdiff_t write(int descriptor, const char* bytes, std::size_t n) override
    {
        if (!disk_.refuses(call::write))
            return system_.write(descriptor, bytes, n);
        // A full disk takes what still fits before it refuses the rest.
        static_cast<void>(system_.write(descriptor, bytes, n / 2));
        errno = ENOSPC;
        return -1;
    }

    int fdatasync(int descriptor) override
    {
        const auto status = status_of(descriptor);
        if (disk_.refuses(call::fdatasync)) {
            disk_.lossy_files.insert(status.st_ino);
            return -1;
        }
        // The kernel reports a failed write-back once. A later fdatasync() succeeds although the bytes are lost.
        if (!disk_.lossy_files.contains(status.st_ino))
            disk_.durable_bytes[status.st_ino] = status.st_size;
        return system_.fdatasync(descriptor);
    }

    int ftruncate(int descriptor, std::size_t length_bytes) override
    {
        return disk_.refuses(call::ftruncate) ? -1 : system_.ftruncate(descriptor, length_bytes);
    }

    int rename(const std::filesystem::path& from, const std::filesystem::path& to) override
    {
        return disk_.refuses(call::rename) ? -1 : system_.rename(from, to);
    }

    int unlink(const std::filesystem::path& file) override
    {
        return disk_.refuses(call::unlink) ? -1 : system_.unlink(file);
    }

    int sync_folder(const std::filesystem::path& folder) override
    {
        return disk_.refuses(call::sync_folder) ? -1 : system_.sync_folder(folder);
    }

private:
    disk& disk_;
    frontends::system_file_operations system_;
};

entry make_entry(std::uint64_t index)
{
    return {{1, index}, entry_kind::command, "entry " + std::to_string(index), {}};
}

class full_disk_fixture {
public:
    std::unique_ptr<file_log_storage> open_storage()
    {
        return file_log_storage::create(folder(), std::make_unique<refusing_file_operations>(disk_));
    }

    /// Repeats the write until the disk has accepted it. Returns the number of refusals.
    static int persist(file_log_storage& storage, const write_batch& batch)
    {
        for (int n = 0;; ++n) {
            try {
                storage.persist(batch);
                return n;
            } catch (const core::storage_full&) {
                REQUIRE(n < 20);
            }
        }
    }

    /// Returns what a restart would find after a power failure now.
    stored_state load_after_power_failure() const
    {
        const std::filesystem::path copy = root_.path().toStdString() + "/copy";
        std::filesystem::remove_all(copy);
        std::filesystem::create_directory(copy);
        for (const auto& it : std::filesystem::directory_iterator(folder())) {
            struct stat status { };
            REQUIRE(::stat(it.path().c_str(), &status) == 0);
            std::ifstream in(it.path(), std::ios::binary);
            std::string content{std::istreambuf_iterator<char>(in), {}};
            const auto durable = disk_.durable_bytes.find(status.st_ino);
            content.resize(durable == disk_.durable_bytes.end() ? 0 : static_cast<std::size_t>(durable->second));
            std::ofstream(copy / it.path().filename(), std::ios::binary) << content;
        }
        return file_log_storage::create(copy)->load();
    }

    std::filesystem::path folder() const { return root_.path().toStdString() + "/data"; }
    disk& storage_disk() { return disk_; }

private:
    QTemporaryDir root_;
    disk disk_;
};

const std::vector<call> all_calls{
    call::open, call::write, call::fdatasync, call::ftruncate, call::rename, call::unlink, call::sync_folder};

} // namespace

// Guards against a storage that stays unusable after a disk was full for a moment: other calls than write() report a
// full disk as well, and each of them must leave a folder in which the same write can be repeated.
TEST_CASE_METHOD(full_disk_fixture, "a full disk may refuse any call without ending the use of the storage")
{
    const auto refused = GENERATE(from_range(all_calls));
    const int skipped = GENERATE(0, 1, 2, 3, 4, 5);
    const int refusals = GENERATE(1, 2, 5);
    INFO("call " << static_cast<int>(refused) << ", after " << skipped << ", " << refusals << " times");
    auto storage = open_storage();
    storage->load();
    storage_disk().refused = {refused};
    storage_disk().skipped = skipped;
    storage_disk().refusals = refusals;
    stored_state expected;
    for (std::uint64_t index = 1; index <= 9; ++index) {
        write_batch batch{std::nullopt, nullptr, {make_entry(index)}};
        if (index % 3 == 0) {
            batch.base = std::make_shared<const snapshot>(snapshot{{1, index - 1}, {}, "state"});
            expected.entries.clear();
        }
        expected.entries.push_back(make_entry(index));
        persist(*storage, batch);
        CHECK(load_after_power_failure().entries == expected.entries);
    }
    storage.reset();
    CHECK(open_storage()->load().entries == expected.entries);
}

// Guards against records that are appended behind the remains of a refused one, which would be taken for damage at the
// next start: when a write and the truncation after it are both refused, only a new file is clean.
TEST_CASE_METHOD(full_disk_fixture, "a record that can be neither completed nor removed is left behind in the old file")
{
    auto storage = open_storage();
    storage->load();
    storage->persist({term_and_vote{1, core::control_id(2)}, nullptr, {make_entry(1)}});
    storage_disk().refused = {call::write, call::ftruncate, call::unlink};
    storage_disk().refusals = 3;
    CHECK(persist(*storage, {std::nullopt, nullptr, {make_entry(2)}}) > 0);
    storage->persist({std::nullopt, nullptr, {make_entry(3)}});
    const auto state = load_after_power_failure();
    CHECK(state.vote == term_and_vote{1, core::control_id(2)});
    CHECK(state.entries == std::vector<entry>{make_entry(1), make_entry(2), make_entry(3)});
}

// Guards against records that are acknowledged as durable although they follow bytes that a failed sync has lost.
TEST_CASE_METHOD(full_disk_fixture, "a record after a failed sync does not depend on the lost bytes")
{
    auto storage = open_storage();
    storage->load();
    storage->persist({std::nullopt, nullptr, {make_entry(1)}});
    storage_disk().refused = {call::fdatasync};
    storage_disk().refusals = 1;
    CHECK_THROWS_AS(storage->persist({std::nullopt, nullptr, {make_entry(2)}}), core::storage_full);
    const auto remains = std::filesystem::file_size(folder() / "log");
    storage->persist({std::nullopt, nullptr, {make_entry(2)}});
    CHECK(std::filesystem::file_size(folder() / "log") == remains);
    CHECK(load_after_power_failure().entries == std::vector<entry>{make_entry(1), make_entry(2)});
}

// Guards against a process that ends when its disk is full at start, instead of waiting for space.
TEST_CASE_METHOD(full_disk_fixture, "a folder that a full disk refuses at start can be opened later")
{
    const auto refused = GENERATE(from_range(all_calls));
    const int skipped = GENERATE(0, 1, 2);
    storage_disk().refused = {refused};
    storage_disk().skipped = skipped;
    storage_disk().refusals = 1;
    for (int n = 0;; ++n) {
        REQUIRE(n < 5);
        try {
            const auto storage = open_storage();
            storage->load();
            storage->persist({std::nullopt, nullptr, {make_entry(1)}});
            break;
        } catch (const core::storage_full&) {
            continue;
        }
    }
    CHECK(load_after_power_failure().entries == std::vector<entry>{make_entry(1)});
}
