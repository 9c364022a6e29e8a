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

/// Converts the headers to nghttp2's representation. The result points into `headers`.
std::vector<nghttp2_nv> to_name_values(const header_list& headers);

/// Logs a warning if `code` is an error that the nghttp2 function `call` returned. A frame that could not be submitted
/// is not sent; its stream then ends through a timeout of the peer or the loss of the connection.
void log_nghttp2_error(int code, const char* call);

/// Implementation of a stream. Its members are accessed by the connection and by nghttp2's callbacks.
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
    bool response_submitted_ = false;
    bool response_received_ = false;
    /// nghttp2 has found no body bytes to send and waits for nghttp2_session_resume_data().
    bool body_read_deferred_ = false;
    bool drain_reported_ = true;
};

} // namespace ibisdyke::transport::detail
