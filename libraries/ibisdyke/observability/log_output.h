#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace ibisdyke::observability {

/// Writes whole lines to a file descriptor without ever waiting long for its reader. Used by one thread.
class log_output {
public:
    explicit log_output(int descriptor)
        : descriptor_(descriptor)
    {
    }

    /// Adds a line to what is to be written.
    void add(std::string_view line);

    /// Writes what was added. Returns how many lines were dropped because the reader does not read or is gone.
    std::size_t flush();

private:
    bool write_chunk(std::string_view chunk);

    int descriptor_;
    std::string waiting_;
};

} // namespace ibisdyke::observability
