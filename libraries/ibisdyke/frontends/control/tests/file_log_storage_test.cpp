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

    /// Persists three batches with a vote and three entries in total.
    void fill() const
    {
        const auto storage = file_log_storage::create(folder());
        storage->load();
        storage->persist({term_and_vote{1, core::control_id(2)}, nullptr, {make_entry(1, "first")}});
        storage->persist({std::nullopt, nullptr, {make_entry(2, "second")}});
        storage->persist({std::nullopt, nullptr, {make_entry(3, "third")}});
    }

    stored_state load() const { return file_log_storage::create(folder())->load(); }

    /// Loads a copy of the folder. Works while the folder is in use.
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

TEST_CASE_METHOD(storage_fixture, "persisted data is loaded after a restart")
{
    fill();
    const auto state = load();
    CHECK(state.vote == term_and_vote{1, core::control_id(2)});
    CHECK(state.entries == std::vector<entry>{make_entry(1, "first"), make_entry(2, "second"), make_entry(3, "third")});
}

TEST_CASE_METHOD(storage_fixture, "an entry replaces the stored entries at its index and above")
{
    fill();
    {
        const auto storage = file_log_storage::create(folder());
        storage->load();
        storage->persist({std::nullopt, nullptr, {make_entry(2, "other")}});
    }
    CHECK(load().entries == std::vector<entry>{make_entry(1, "first"), make_entry(2, "other")});
}

// A process whose data folder was lost must not keep its former identity.
TEST_CASE_METHOD(storage_fixture, "the incarnation survives a restart and changes when the folder is lost")
{
    const auto first = file_log_storage::create(folder())->incarnation();
    CHECK(file_log_storage::create(folder())->incarnation() == first);
    std::filesystem::remove_all(folder());
    CHECK(file_log_storage::create(folder())->incarnation() != first);
}

// A process must be able to start after a power failure during a write.
TEST_CASE_METHOD(storage_fixture, "an incomplete last record is dropped and the earlier records are kept")
{
    fill();
    const auto original = read("log");
    // load() rewrites the log as a single record, so each iteration writes the original content again. The record of
    // the third persist() begins after the content of the second.
    const auto third = original.rfind("third");
    REQUIRE(third != std::string::npos);
    const auto begin = original.rfind("second") + std::string("second").size();
    for (auto cut = begin + 1; cut < original.size(); ++cut) {
        write("log", original.substr(0, cut));
        const auto state = load();
        INFO("cut at byte " << cut << " of " << original.size());
        CHECK(state.entries == std::vector<entry>{make_entry(1, "first"), make_entry(2, "second")});
    }
}

TEST_CASE_METHOD(storage_fixture, "a last record that ends in unwritten sectors is dropped")
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

// Entries that were acknowledged as durable must not be lost silently.
TEST_CASE_METHOD(storage_fixture, "a flipped bit anywhere in the log is refused with the file and the byte offset")
{
    fill();
    const auto original = read("log");
    constexpr std::size_t magic_bytes = 8;
    for (auto i = magic_bytes; i < original.size(); ++i) {
        for (int bit = 0; bit < 8; ++bit) {
            auto damaged = original;
            damaged[i] = static_cast<char>(damaged[i] ^ (1 << bit));
            write("log", damaged);
            INFO("bit " << bit << " of byte " << i << " of " << original.size());
            CHECK_THROWS_WITH(load(), Catch::Contains("log is damaged at byte"));
        }
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

TEST_CASE_METHOD(storage_fixture, "a snapshot replaces the log up to its last entry")
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
    CHECK(state.vote == term_and_vote{1, core::control_id(2)});
    CHECK(state.entries == std::vector<entry>{make_entry(3, "third"), make_entry(4, "fourth")});
}

// The folder must be readable after a crash between the rename of the snapshot and that of the log.
TEST_CASE_METHOD(storage_fixture, "log entries that the snapshot covers are skipped")
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

/// Simulates a full disk by a limit of the file size: write() writes up to the limit and then fails.
class full_disk {
public:
    explicit full_disk(std::size_t max_file_bytes)
    {
        std::signal(SIGXFSZ, SIG_IGN);
        getrlimit(RLIMIT_FSIZE, &original_limit_);
        const rlimit small{max_file_bytes, original_limit_.rlim_max};
        setrlimit(RLIMIT_FSIZE, &small);
    }

    ~full_disk() { setrlimit(RLIMIT_FSIZE, &original_limit_); }
    full_disk(const full_disk&) = delete;
    full_disk& operator=(const full_disk&) = delete;
    full_disk(full_disk&&) = delete;
    full_disk& operator=(full_disk&&) = delete;

private:
    rlimit original_limit_{};
};

// Entries that were not written because the disk was full must not be acknowledged, and no record may follow an
// incomplete one.
TEST_CASE_METHOD(storage_fixture, "a write to a full disk leaves nothing behind and can be repeated")
{
    fill();
    const write_batch large{std::nullopt, nullptr, {make_entry(4, std::string(5000, 'x'))}};
    {
        const auto storage = file_log_storage::create(folder());
        storage->load();
        const auto original = read("log");
        {
            const full_disk full(original.size() + 100);
            CHECK_THROWS_AS(storage->persist(large), core::storage_full);
            CHECK(read("log") == original);
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

// Neither the log nor the snapshot that replaces it may be lost when the disk is too full for either of them.
TEST_CASE_METHOD(storage_fixture, "a snapshot that does not fit on the disk leaves the log unchanged")
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

// A full disk at start must not be reported as a damaged folder, and a folder must not stay incomplete after a failed
// creation.
TEST_CASE_METHOD(storage_fixture, "a folder on a full disk can be opened once the disk has space")
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
