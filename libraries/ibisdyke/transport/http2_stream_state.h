#pragma once

#include "ibisdyke/transport/http2_connection.h"
#include "ibisdyke/transport/http2_stream.h"
#include "ibisdyke/transport/send_buffer.h"

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace ibisdyke::transport::detail {

/// Returns the headers as nghttp2 takes them. They point into `headers`.
std::vector<nghttp2_nv> to_name_values(const header_list& headers);

/// Writes a line when a call of nghttp2 has failed. What it was to send is not sent; the peer's timeout or the loss of
/// the connection ends the stream.
void note_result(int code, const char* call);

/// One stream of a connection, as the connection and nghttp2's callbacks work on it.
class http2_stream_state final : public http2_stream, public std::enable_shared_from_this<http2_stream_state> {
public:
    explicit http2_stream_state(http2_connection& connection)
        : connection_(&connection)
    {
    }

    void send_headers(const header_list& headers, end_of_stream end) override;
    void send_data(std::string_view bytes, end_of_stream end) override;
    void reset(reset_reason reason) override;
    void acknowledge(std::size_t n) override;
    std::size_t unsent_bytes() const override { return buffer_.size(); }

    nghttp2_data_provider body_provider();

    std::int32_t id_ = 0;
    http2_connection* connection_;
    std::shared_ptr<http2_stream_listener> listener_;
    header_list received_headers_;
    std::size_t received_header_bytes_ = 0;
    send_buffer buffer_;
    bool headers_sent_ = false;
    bool response_started_ = false;
    bool response_received_ = false;
    bool reader_waits_ = false;
    bool drained_reported_ = true;
};

} // namespace ibisdyke::transport::detail
