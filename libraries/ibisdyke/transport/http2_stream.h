#pragma once

#include "ibisdyke/transport/header_field.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace ibisdyke::transport {

enum class end_of_stream : std::uint8_t {
    no,
    yes,
};

/// Why a stream has ended.
enum class close_reason : std::uint8_t {
    /// Both sides have ended the stream (END_STREAM).
    completed,
    /// The peer has not processed the stream and never will. Either the peer reset it with REFUSED_STREAM, its id was
    /// above the last stream id of a GOAWAY, or its headers were never sent.
    refused,
    /// The peer reset the stream with an error code other than REFUSED_STREAM.
    reset,
    /// The connection was lost after the stream's headers had been sent.
    connection_lost,
};

/// Selects the error code of a stream reset.
enum class reset_reason : std::uint8_t {
    /// REFUSED_STREAM: the stream was not processed and may be retried.
    refused,
    /// CANCEL: the result is no longer wanted.
    cancelled,
    /// INTERNAL_ERROR: processing failed, but may have had side effects.
    failed,
};

/// Receives the events of a stream on the thread of its connection. on_closed() is the last call.
class http2_stream_listener {
public:
    virtual ~http2_stream_listener() = default;

    /// Client side only. Called with the headers of the response. On the server side, the headers of the request are
    /// passed to http2_stream_acceptor::accept().
    virtual void on_headers(const header_list& headers, end_of_stream end) = 0;

    /// Client side only. Called when an interim response (status 1xx) has arrived. Its header fields are dropped; the
    /// headers of the final response follow.
    virtual void on_interim_response() { }

    /// Called with bytes of the body. They occupy the stream's flow-control window until http2_stream::acknowledge().
    virtual void on_data(std::string_view bytes, end_of_stream end) = 0;

    /// Called when all bytes passed to send_data() have been handed to the socket.
    virtual void on_drained() { }

    virtual void on_closed(close_reason reason) = 0;
};

/// An HTTP/2 stream. Must be used on the thread of its connection. Calls after the stream has ended are ignored.
class http2_stream {
public:
    virtual ~http2_stream() = default;

    /// Server side only. Sends the headers of the response.
    virtual void send_headers(const header_list& headers, end_of_stream end) = 0;

    /// Queues bytes of the body. They are sent as flow control allows; unsent_bytes() returns how many are queued.
    virtual void send_data(std::string_view bytes, end_of_stream end) = 0;

    virtual void reset(reset_reason reason) = 0;

    /// Returns `n` received bytes to the peer's flow-control window.
    virtual void acknowledge(std::size_t n) = 0;

    virtual std::size_t unsent_bytes() const = 0;
};

/// Receives the requests that arrive at a server.
class http2_stream_acceptor {
public:
    virtual ~http2_stream_acceptor() = default;

    /// Returns the listener for a new stream, or null to reset the stream with REFUSED_STREAM.
    virtual std::shared_ptr<http2_stream_listener> accept(
        const std::shared_ptr<http2_stream>& stream, const header_list& headers, end_of_stream end) = 0;
};

} // namespace ibisdyke::transport
