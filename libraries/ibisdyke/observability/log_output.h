#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace ibisdyke::observability {

/// Writes whole lines to a file descriptor. When the descriptor is not read, drops lines after a short wait instead of
/// blocking. Must be used by a single thread.
class log_output {
public:
    explicit log_output(int descriptor)
        : descriptor_(descriptor)
    {
    }

    /// Appends a line to the buffer. Long lines are truncated.
    void add(std::string_view line);

    /// Writes the buffered lines. Returns the number of lines that were dropped because the reader was stalled or had
    /// exited.
    std::size_t flush();

private:
    bool write_chunk(std::string_view chunk);

    int descriptor_;
    std::string buffer_;
};

} // namespace ibisdyke::observability
