#include "ibisdyke/observability/log_output.h"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace ibisdyke::observability {

namespace {

/// PIPE_BUF. When poll() reports a pipe as writable, a write of at most this size does not block.
constexpr std::size_t max_chunk_bytes = 4096;

/// If the descriptor does not become writable within this time, the lines are dropped.
constexpr int write_timeout_ms = 20;

} // namespace

void log_output::add(std::string_view line)
{
    buffer_.append(line.substr(0, max_chunk_bytes - 1));
    buffer_.push_back('\n');
}

std::size_t log_output::flush()
{
    std::size_t dropped = 0;
    const auto text = std::exchange(buffer_, {});
    std::string_view rest = text;
    while (!rest.empty()) {
        auto end = std::min(rest.size(), max_chunk_bytes);
        if (end < rest.size())
            end = rest.rfind('\n', end - 1) + 1;
        const auto chunk = rest.substr(0, end);
        rest.remove_prefix(end);
        if (!write_chunk(chunk))
            dropped += static_cast<std::size_t>(std::count(chunk.begin(), chunk.end(), '\n'));
    }
    return dropped;
}

bool log_output::write_chunk(std::string_view chunk)
{
    pollfd poll_entry{descriptor_, POLLOUT, 0};
    if (poll(&poll_entry, 1, write_timeout_ms) <= 0 || (poll_entry.revents & POLLOUT) == 0)
        return false;
    while (!chunk.empty()) {
        const auto n = write(descriptor_, chunk.data(), chunk.size());
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return false;
        chunk.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

} // namespace ibisdyke::observability
