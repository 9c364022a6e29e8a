#include "ibisdyke/observability/counter_registry.h"
#include "ibisdyke/observability/log.h"
#include "ibisdyke/observability/log_output.h"
#include "ibisdyke/observability/log_rate_limiter.h"
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
using observability::log_output;
using observability::log_rate_limiter;

namespace {

const core::time_point start{1h};

/// A pipe whose ends are closed by the destructor.
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

// Without a rate limit, a flood of one event fills the log and hides other events.
TEST_CASE("each event has its own rate limit, and suppressed lines are counted")
{
    log_rate_limiter rate_limiter(10);
    int written = 0;
    for (int i = 0; i < 1000; ++i)
        written += rate_limiter.allows("flow_rejected", start + std::chrono::milliseconds(i)) ? 1 : 0;
    CHECK(written == 10);
    CHECK(rate_limiter.allows("role_changed", start));
    CHECK(rate_limiter.take_suppressed() == std::vector<std::pair<std::string, std::uint64_t>>{{"flow_rejected", 990}});
    CHECK(rate_limiter.take_suppressed().empty());
    CHECK(rate_limiter.allows("flow_rejected", start + 1s));
}

TEST_CASE("fields are written as NAME=VALUE and quoted where necessary")
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

// A process must not block because its log is not read.
TEST_CASE("lines for a stalled reader are dropped after a short wait")
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
    // 200 kB are written into a pipe that holds 64 kB.
    CHECK(dropped > 600);
    CHECK(dropped < 1000);
    CHECK(std::chrono::steady_clock::now() - begin < 5s);
}

// During a flood of packets, formatting lines that are then suppressed wastes time. Suppressed lines must be counted
// nevertheless.
TEST_CASE("a line above the rate limit is refused before its fields are formatted, and counted")
{
    CHECK_FALSE(observability::claim_line("claimed"));
    observability::counter_registry counters;
    observability::initialise_log("test", counters);
    int allowed = 0;
    constexpr int excess_lines = 7;
    for (int i = 0; i < observability::lines_per_second + excess_lines; ++i)
        allowed += observability::claim_line("claimed") ? 1 : 0;
    observability::finish_log();
    CHECK(allowed == observability::lines_per_second);
    CHECK(counters.find("log_lines_left_out").value() == excess_lines);
}

// A message that could not be decoded must show in the counters.
TEST_CASE("a malformed message is counted under the kind of message")
{
    observability::counter_registry counters;
    observability::note_malformed(counters, "heartbeats_malformed", core::malformed_message("cut short"));
    CHECK(counters.find("heartbeats_malformed").value() == 1);
}

// Writing to a pipe without a reader raises SIGPIPE, which would end the process.
TEST_CASE("lines for a reader that has exited are dropped")
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

TEST_CASE("a line that is too long is truncated")
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
