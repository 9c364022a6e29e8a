#include "ibisdyke/core/error.h"
#include "ibisdyke/settings/settings_file.h"
#include "ibisdyke/settings/settings_source.h"

#include <catch2/catch.hpp>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace ibisdyke;

namespace {

/// A settings file that is removed by the destructor.
class temporary_file {
public:
    explicit temporary_file(const std::string& text)
        : path_(std::filesystem::temp_directory_path() / ("ibisdyke-settings-" + std::to_string(getpid())))
    {
        write(text);
    }

    ~temporary_file() { std::filesystem::remove(path_); }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;
    temporary_file(temporary_file&&) = delete;
    temporary_file& operator=(temporary_file&&) = delete;

    void write(const std::string& text) const { std::ofstream(path_) << text; }
    std::string path() const { return path_.string(); }

private:
    std::filesystem::path path_;
};

} // namespace

TEST_CASE("a settings file contains flags with values, comments and empty lines")
{
    const auto read = settings::parse_settings_file("# comment\n\nname=a=b\nempty=\nlast=1");
    CHECK(read == std::map<std::string, std::string>{{"name", "a=b"}, {"last", "1"}});
    CHECK_THROWS_AS(settings::parse_settings_file("no value"), core::invalid_input);
    CHECK_THROWS_AS(settings::parse_settings_file("=value"), core::invalid_input);
}

// A reload must not accept invalid settings, and the settings file must not override flags or environment variables.
TEST_CASE("flags and environment variables take precedence over the settings file, and a reload validates all settings")
{
    settings::settings_parser parser("test", "Test");
    parser.add_number("test-slots", "Slots", 5, 1, 100);
    parser.add_number("test-queue", "Queue", 5, 1, 100);
    const temporary_file file("test-slots=7\ntest-queue=8\n");
    const auto flag = "--settings-file=" + file.path();
    const std::array<const char*, 3> arguments{"test", flag.c_str(), "--test-queue=9"};
    const auto values = parser.parse(3, arguments.data());
    REQUIRE(values);
    CHECK(values->number("test-slots") == 7);
    CHECK(values->number("test-queue") == 9);
    setenv("IBISDYKE_TEST_SLOTS", "6", 1);
    CHECK(parser.parse(3, arguments.data())->number("test-slots") == 6);
    unsetenv("IBISDYKE_TEST_SLOTS");

    const settings::settings_source source(parser, 3, arguments.data(), *values);
    file.write("test-slots=11\n");
    CHECK(source.reload().number("test-slots") == 11);
    file.write("test-slots=101\n");
    CHECK_THROWS_AS(source.reload(), core::invalid_input);
    file.write("test-unknown=1\n");
    CHECK_THROWS_AS(source.reload(), core::invalid_input);
}

TEST_CASE("a settings file that cannot be read prevents the start")
{
    settings::settings_parser parser("test", "Test");
    const std::array<const char*, 2> arguments{"test", "--settings-file=/nowhere/settings"};
    CHECK_THROWS_AS(parser.parse(2, arguments.data()), core::system_failure);
}
