#pragma once

#include "ibisdyke/transport/http2_stream.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace ibisdyke::frontends {

/// Applies back pressure between two HTTP/2 streams. Returns received bytes to the source's flow-control window only as
/// fast as the receiving stream (the sink) drains, so that a slow reader does not fill this process's memory.
class window_updater {
public:
    /// Received bytes are acknowledged at once while the sink has at most this many unsent bytes. If the sink had to be
    /// empty first, each window of data would wait for a round trip to the sender.
    static constexpr std::size_t low_watermark_bytes = 65'536;

    /// Sets the stream whose bytes are acknowledged.
    void set_source(std::shared_ptr<transport::http2_stream> source) { source_ = std::move(source); }

    /// Called when `n` bytes were received and passed to `sink`, which is null while there is no receiving stream yet.
    void on_received(std::size_t n, const transport::http2_stream* sink);

    /// Acknowledges all received bytes. Called when the sink has drained, or when the bytes are no longer needed.
    void acknowledge();

    void clear_source() { source_.reset(); }

private:
    std::shared_ptr<transport::http2_stream> source_;
    std::size_t unacknowledged_bytes_ = 0;
};

/// Detects a reader that consumes no data.
class stalled_reader_detector {
public:
    /// Called at regular intervals with the number of bytes not yet sent to the reader. Returns the number of
    /// consecutive intervals without progress.
    std::size_t observe(std::size_t unsent_bytes);

private:
    std::size_t last_unsent_ = 0;
    std::size_t stalled_intervals_ = 0;
};

} // namespace ibisdyke::frontends
