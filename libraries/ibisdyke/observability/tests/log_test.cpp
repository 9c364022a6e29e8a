#include "ibisdyke/observability/counter_registry.h"
#include "ibisdyke/observability/log.h"
#include "ibisdyke/observability/log_limit.h"
#include "ibisdyke/observability/log_output.h"
#include "ibisdyke/observability/malformed_message.h"

#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <unistd.h>

using namespace ibisdyke;
using namespace std::chrono_literals;
using observability::format_fields;
using observability::log_limit;
using observability::log_output;

namespace {

const core::time_point start{1h};

/// A pipe whose ends are closed at the end.
class test_pipe {
public:
    test_pipe() { REQUIRE(pipe2(ends_.data(), O_CLOEXEC) == 0); }
    ~test_pipe()
    {
        close_reader();
        close(ends_[1]);
    }

    test_pipe(const test_pipe&) = delete;
    test_pipe& operator=(const test_pipe&) = delete;
    test_pipe(test_pipe&&) = delete;
    test_pipe& operator=(test_pipe&&) = delete;

    int writer() const { return ends_[1]; }

    void close_reader()
    {
        if (ends_[0] >= 0)
            close(ends_[0]);
        ends_[0] = -1;
    }

    std::string read_all() const
    {
        std::string result(65'536, '\0');
        const auto n = read(ends_[0], result.data(), result.size());
        result.resize(n < 0 ? 0 : static_cast<std::size_t>(n));
        return result;
    }

private:
    std::array<int, 2> ends_{-1, -1};
};

} // namespace

// Guards against a flood of one event that fills the log or hides the others.
TEST_CASE("each event has its own limit of lines a second, and the rest is counted")
{
    log_limit limit(10);
    int written = 0;
    for (int i = 0; i < 1000; ++i)
        written += limit.allows("flow_rejected", start + std::chrono::milliseconds(i)) ? 1 : 0;
    CHECK(written == 10);
    CHECK(limit.allows("role_changed", start));
    CHECK(limit.take_suppressed() == std::vector<std::pair<std::string, std::uint64_t>>{{"flow_rejected", 990}});
    CHECK(limit.take_suppressed().empty());
    CHECK(limit.allows("flow_rejected", start + 1s));
}

TEST_CASE("fields are written as NAME=VALUE and quoted where they could be misread")
{
    CHECK(format_fields({{"flow", "10.0.0.1:1>10.0.0.2:2"}, {"waiting", 3}, {"share", 0.5}, {"ok", true}})
        == "flow=10.0.0.1:1>10.0.0.2:2 waiting=3 share=0.5 ok=true");
    CHECK(format_fields({{"error", "no such \"file\"\n"}}) == R"(error="no such \"file\" ")");
    CHECK(format_fields({{"name", ""}, {"path", "a=b"}}) == R"(name="" path="a=b")");
    CHECK(format_fields({}).empty());
}

TEST_CASE("lines reach their reader whole and in order")
{
    const test_pipe pipe;
    log_output output(pipe.writer());
    std::string expected;
    for (int i = 0; i < 200; ++i) {
        const auto line = "line " + std::to_string(i) + " of some length, so that several writes are needed";
        output.add(line);
        expected += line + "\n";
    }
    CHECK(output.flush() == 0);
    CHECK(pipe.read_all() == expected);
    CHECK(output.flush() == 0);
}

// Guards against a process that stands still because nobody reads its log.
TEST_CASE("a reader that does not read costs lines and little time")
{
    const test_pipe pipe;
    log_output output(pipe.writer());
    const auto begin = std::chrono::steady_clock::now();
    std::size_t dropped = 0;
    for (int i = 0; i < 100; ++i) {
        for (int n = 0; n < 10; ++n)
            output.add(std::string(200, 'x'));
        dropped += output.flush();
    }
    // 200 kB into a pipe that holds 64 kB.
    CHECK(dropped > 600);
    CHECK(dropped < 1000);
    CHECK(std::chrono::steady_clock::now() - begin < 5s);
}

// Guards against lines about packets that are worked out in a flood although nearly all of them are left out, and
// against lines that are left out without being counted.
TEST_CASE("a line that may not be written is refused before its fields are made, and counted")
{
    CHECK_FALSE(observability::claim_line("claimed"));
    observability::counter_registry counters;
    observability::initialise_log("test", counters);
    int allowed = 0;
    constexpr int excess = 7;
    for (int i = 0; i < observability::lines_per_second + excess; ++i)
        allowed += observability::claim_line("claimed") ? 1 : 0;
    observability::finish_log();
    CHECK(allowed == observability::lines_per_second);
    CHECK(counters.find("log_lines_left_out").value() == excess);
}

// Guards against a message that could not be read and is missing from counters.
TEST_CASE("a malformed message is counted under the name of what it was")
{
    observability::counter_registry counters;
    observability::note_malformed(counters, "heartbeats_malformed", core::malformed_message("cut short"));
    CHECK(counters.find("heartbeats_malformed").value() == 1);
}

// Guards against a process that ends because the reader of its log has gone.
TEST_CASE("a reader that has gone costs lines only")
{
    std::signal(SIGPIPE, SIG_IGN);
    test_pipe pipe;
    log_output output(pipe.writer());
    pipe.close_reader();
    output.add("line");
    CHECK(output.flush() == 1);
    log_output closed(-1);
    closed.add("line");
    CHECK(closed.flush() == 1);
}

TEST_CASE("a line that is too long is cut")
{
    const test_pipe pipe;
    log_output output(pipe.writer());
    output.add(std::string(10'000, 'x'));
    output.add("next");
    CHECK(output.flush() == 0);
    const auto text = pipe.read_all();
    CHECK(text.size() < 5000);
    CHECK(text.substr(text.size() - 6) == "\nnext\n");
}
