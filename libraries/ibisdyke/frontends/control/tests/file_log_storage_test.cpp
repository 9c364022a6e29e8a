#include "ibisdyke/core/error.h"
#include "ibisdyke/frontends/control/file_log_storage.h"

#include <QTemporaryDir>

#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sys/resource.h>

using namespace ibisdyke;
using namespace ibisdyke::replication;
using frontends::file_log_storage;

namespace {

entry make_entry(std::uint64_t index, const std::string& command)
{
    return {{1, index}, entry_kind::command, command, {}};
}

/// A data folder that is removed at the end of the test.
class storage_fixture {
public:
    std::filesystem::path folder() const { return root_.path().toStdString() + "/data"; }

    std::string read(const std::string& name) const
    {
        std::ifstream in(folder() / name, std::ios::binary);
        return {std::istreambuf_iterator<char>(in), {}};
    }

    void write(const std::string& name, const std::string& content) const
    {
        std::ofstream(folder() / name, std::ios::binary | std::ios::trunc) << content;
    }

    /// Writes three batches with a ballot and three entries.
    void fill() const
    {
        const auto storage = file_log_storage::create(folder());
        storage->load();
        storage->persist({vote{1, core::control_id(2)}, nullptr, {make_entry(1, "first")}});
        storage->persist({std::nullopt, nullptr, {make_entry(2, "second")}});
        storage->persist({std::nullopt, nullptr, {make_entry(3, "third")}});
    }

    stored_state load() const { return file_log_storage::create(folder())->load(); }

    /// Loads a copy of a folder that is in use.
    stored_state load_copy() const
    {
        const std::filesystem::path copy = root_.path().toStdString() + "/copy";
        std::filesystem::copy(folder(), copy);
        return file_log_storage::create(copy)->load();
    }

private:
    QTemporaryDir root_;
};

} // namespace

TEST_CASE_METHOD(storage_fixture, "what was persisted is there after a restart")
{
    fill();
    const auto state = load();
    CHECK(state.ballot == vote{1, core::control_id(2)});
    CHECK(state.entries == std::vector<entry>{make_entry(1, "first"), make_entry(2, "second"), make_entry(3, "third")});
}

TEST_CASE_METHOD(storage_fixture, "an entry replaces the stored ones of its index and above")
{
    fill();
    {
        const auto storage = file_log_storage::create(folder());
        storage->load();
        storage->persist({std::nullopt, nullptr, {make_entry(2, "other")}});
    }
    CHECK(load().entries == std::vector<entry>{make_entry(1, "first"), make_entry(2, "other")});
}

// Guards against a process that takes itself for the one whose data folder was lost.
TEST_CASE_METHOD(storage_fixture, "the incarnation survives a restart and changes when the folder is lost")
{
    const auto first = file_log_storage::create(folder())->disk();
    CHECK(file_log_storage::create(folder())->disk() == first);
    std::filesystem::remove_all(folder());
    CHECK(file_log_storage::create(folder())->disk() != first);
}

// Guards against a process that cannot start after a power failure in the middle of a write.
TEST_CASE_METHOD(storage_fixture, "a record that was cut anywhere is dropped and the rest is kept")
{
    fill();
    const auto whole = read("log");
    // load() writes the log again in one record, so the third persist() of fill() is what lies after the second.
    const auto third = whole.rfind("third");
    REQUIRE(third != std::string::npos);
    const auto begin = whole.rfind("second") + std::string("second").size();
    for (auto cut = begin + 1; cut < whole.size(); ++cut) {
        write("log", whole.substr(0, cut));
        const auto state = load();
        INFO("cut at byte " << cut << " of " << whole.size());
        CHECK(state.entries == std::vector<entry>{make_entry(1, "first"), make_entry(2, "second")});
    }
}

TEST_CASE_METHOD(storage_fixture, "a record whose tail was never written is dropped")
{
    fill();
    {
        const auto storage = file_log_storage::create(folder());
        storage->load();
        storage->persist({std::nullopt, nullptr, {make_entry(4, std::string(4000, 'x'))}});
    }
    auto content = read("log");
    std::fill(content.end() - 1500, content.end(), '\0');
    write("log", content);
    CHECK(load().entries.size() == 3);
}

// Guards against silently losing entries that were promised to be durable.
TEST_CASE_METHOD(storage_fixture, "a flipped byte anywhere in the log is refused and names the file and the place")
{
    fill();
    const auto whole = read("log");
    constexpr std::size_t magic_bytes = 8;
    for (auto i = magic_bytes; i < whole.size(); ++i) {
        auto damaged = whole;
        damaged[i] = static_cast<char>(damaged[i] ^ 0x20);
        write("log", damaged);
        INFO("byte " << i << " of " << whole.size());
        CHECK_THROWS_WITH(load(), Catch::Contains("log is damaged at byte"));
    }
}

TEST_CASE_METHOD(storage_fixture, "a damaged snapshot or identity is refused")
{
    {
        const auto storage = file_log_storage::create(folder());
        storage->load();
        storage->persist({std::nullopt, std::make_shared<const snapshot>(snapshot{{1, 5}, {}, "state"}), {}});
    }
    const auto name = GENERATE(std::string("snapshot"), std::string("identity"));
    auto content = read(name);
    content.back() = static_cast<char>(content.back() ^ 1);
    write(name, content);
    CHECK_THROWS_WITH(load(), Catch::Contains("damaged"));
}

TEST_CASE_METHOD(storage_fixture, "a snapshot replaces the log up to it")
{
    fill();
    const auto base = std::make_shared<const snapshot>(snapshot{{1, 2}, {}, "state"});
    {
        const auto storage = file_log_storage::create(folder());
        storage->load();
        storage->persist({std::nullopt, base, {make_entry(3, "third")}});
        storage->persist({std::nullopt, nullptr, {make_entry(4, "fourth")}});
    }
    const auto state = load();
    CHECK(*state.base == *base);
    CHECK(state.ballot == vote{1, core::control_id(2)});
    CHECK(state.entries == std::vector<entry>{make_entry(3, "third"), make_entry(4, "fourth")});
}

// Guards against a crash between the rename of the snapshot and that of the log.
TEST_CASE_METHOD(storage_fixture, "a log that still holds entries of the snapshot is read after it")
{
    fill();
    const auto old_log = read("log");
    {
        const auto storage = file_log_storage::create(folder());
        storage->load();
        storage->persist(
            {std::nullopt, std::make_shared<const snapshot>(snapshot{{1, 2}, {}, "state"}), {make_entry(3, "third")}});
    }
    write("log", old_log);
    write("snapshot.new", "half a snapsh");
    const auto state = load();
    REQUIRE(state.base);
    CHECK(state.base->last == core::version{1, 2});
    CHECK(state.entries == std::vector<entry>{make_entry(3, "third")});
}

TEST_CASE_METHOD(storage_fixture, "two processes cannot use one data folder")
{
    const auto first = file_log_storage::create(folder());
    CHECK_THROWS_WITH(file_log_storage::create(folder()), Catch::Contains("in use"));
}

/// Bounds the size of files, which stands in for a full disk: write() takes a part and then fails.
class full_disk {
public:
    explicit full_disk(std::size_t max_file_bytes)
    {
        std::signal(SIGXFSZ, SIG_IGN);
        getrlimit(RLIMIT_FSIZE, &before_);
        const rlimit small{max_file_bytes, before_.rlim_max};
        setrlimit(RLIMIT_FSIZE, &small);
    }

    ~full_disk() { setrlimit(RLIMIT_FSIZE, &before_); }
    full_disk(const full_disk&) = delete;
    full_disk& operator=(const full_disk&) = delete;
    full_disk(full_disk&&) = delete;
    full_disk& operator=(full_disk&&) = delete;

private:
    rlimit before_{};
};

// Guards against an answer that promises what a full disk did not take, and against a torn record before later ones.
TEST_CASE_METHOD(storage_fixture, "a write that a full disk did not take leaves nothing, and may be made again")
{
    fill();
    const write_batch large{std::nullopt, nullptr, {make_entry(4, std::string(5000, 'x'))}};
    {
        const auto storage = file_log_storage::create(folder());
        storage->load();
        const auto before = read("log");
        {
            const full_disk full(before.size() + 100);
            CHECK_THROWS_AS(storage->persist(large), core::storage_full);
            CHECK(read("log") == before);
            CHECK_THROWS_AS(storage->persist(large), core::storage_full);
        }
        CHECK(load_copy().entries.size() == 3);
        storage->persist(large);
        storage->persist({std::nullopt, nullptr, {make_entry(5, "fifth")}});
    }
    const auto entries = load().entries;
    REQUIRE(entries.size() == 5);
    CHECK(entries[3] == large.entries[0]);
    CHECK(entries[4] == make_entry(5, "fifth"));
}

// Guards against a snapshot that is lost, or replaces the log by nothing, when the disk has no room for one of them.
TEST_CASE_METHOD(storage_fixture, "a snapshot that a full disk did not take leaves the log as it was")
{
    fill();
    const write_batch snapshot_only{
        std::nullopt, std::make_shared<const snapshot>(snapshot{{1, 3}, {}, std::string(5000, 's')}), {}};
    {
        const auto storage = file_log_storage::create(folder());
        storage->load();
        const full_disk full(1000);
        CHECK_THROWS_AS(storage->persist(snapshot_only), core::storage_full);
        CHECK_FALSE(std::filesystem::exists(folder() / "snapshot.new"));
    }
    CHECK(load().entries.size() == 3);
    {
        const auto storage = file_log_storage::create(folder());
        storage->load();
        storage->persist(snapshot_only);
    }
    CHECK(*load().base == *snapshot_only.base);
}

// Guards against a process that takes a full disk for a damaged one at its start, and against a folder that is left
// half made.
TEST_CASE_METHOD(storage_fixture, "a folder whose disk is full cannot be opened until it has room")
{
    {
        const full_disk full(10);
        CHECK_THROWS_AS(file_log_storage::create(folder()), core::storage_full);
    }
    fill();
    {
        const full_disk full(50);
        CHECK_THROWS_AS(file_log_storage::create(folder()), core::storage_full);
    }
    CHECK(load().entries.size() == 3);
}
