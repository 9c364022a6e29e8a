#pragma once

#include "ibisdyke/transport/http2_stream.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace ibisdyke::frontends {

/// Returns received bytes to their sender's flow-control window only as fast as the stream they go to drains, so that a
/// slow reader holds back the sender instead of filling this process's memory.
class body_relay {
public:
    /// Bytes that may wait in the receiving stream while further ones are asked for. Without this reserve, each window
    /// of data would wait for a round trip to the sender.
    static constexpr std::size_t reserve_bytes = 65'536;

    /// Sets the stream that the bytes come from.
    void set_source(std::shared_ptr<transport::http2_stream> source) { source_ = std::move(source); }

    /// `n` bytes have been received and given to `sink`, which may be null while there is none yet.
    void on_received(std::size_t n, const transport::http2_stream* sink);

    /// The sink has drained, or nothing needs the bytes any more.
    void release();

    void clear() { source_.reset(); }

private:
    std::shared_ptr<transport::http2_stream> source_;
    std::size_t owed_bytes_ = 0;
};

/// Notices a reader that consumes nothing.
class stall_watch {
public:
    /// Called at regular intervals with the bytes that wait for the reader. Returns how many intervals in a row have
    /// passed without progress.
    std::size_t observe(std::size_t unsent_bytes);

private:
    std::size_t last_unsent_ = 0;
    std::size_t intervals_ = 0;
};

} // namespace ibisdyke::frontends
