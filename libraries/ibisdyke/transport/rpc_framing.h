#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace ibisdyke::transport {

/// Size of the largest message of a call or subscription.
constexpr std::size_t max_message_bytes = std::size_t{16} * 1024 * 1024;

/// Prepends the length of the message (32 bits, big-endian).
std::string frame_message(std::string_view message);

/// Splits a byte stream into the messages that were framed by frame_message().
class message_splitter {
public:
    void append(std::string_view bytes) { buffer_.append(bytes); }

    /// Returns the next complete message, or std::nullopt if more bytes are needed.
    std::optional<std::string> next();

    /// Returns whether the stream contained a length above max_message_bytes. next() then returns no more messages.
    bool failed() const { return failed_; }

private:
    std::string buffer_;
    bool failed_ = false;
};

} // namespace ibisdyke::transport
