#include "ibisdyke/transport/http2_callbacks.h"

#include <memory>
#include <string>
#include <utility>

namespace ibisdyke::transport::detail {

namespace {

constexpr std::size_t max_header_bytes = 65'536;

close_reason to_close_reason(std::uint32_t code)
{
    if (code == NGHTTP2_NO_ERROR)
        return close_reason::completed;
    if (code == NGHTTP2_REFUSED_STREAM)
        return close_reason::refused;
    return close_reason::reset;
}

} // namespace

http2_connection& http2_callbacks::connection(void* user_data)
{
    return *static_cast<http2_connection*>(user_data);
}

http2_stream_state* http2_callbacks::find_stream(http2_connection& self, std::int32_t id)
{
    const auto it = self.streams_.find(id);
    return it == self.streams_.end() ? nullptr : it->second.get();
}

int http2_callbacks::begin_headers(nghttp2_session*, const nghttp2_frame* frame, void* user_data)
{
    auto& self = connection(user_data);
    const auto id = frame->hd.stream_id;
    if (self.side_ == http2_connection::side::server && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
        auto state = std::make_shared<http2_stream_state>(self);
        state->id_ = id;
        state->headers_sent_ = true;
        self.streams_.emplace(id, std::move(state));
    }
    return 0;
}

int http2_callbacks::header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
    std::size_t name_size, const std::uint8_t* value, std::size_t value_size, std::uint8_t, void* user_data)
{
    auto* const stream = find_stream(connection(user_data), frame->hd.stream_id);
    if (stream == nullptr)
        return 0;
    stream->received_header_bytes_ += name_size + value_size;
    if (stream->received_header_bytes_ > max_header_bytes)
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    stream->received_headers_.push_back({std::string(reinterpret_cast<const char*>(name), name_size),
        std::string(reinterpret_cast<const char*>(value), value_size)});
    return 0;
}

int http2_callbacks::frame_received(nghttp2_session*, const nghttp2_frame* frame, void* user_data)
{
    auto& self = connection(user_data);
    const auto end = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0 ? end_of_stream::yes : end_of_stream::no;
    if (frame->hd.type == NGHTTP2_HEADERS)
        headers_complete(self, frame, end);
    if (frame->hd.type == NGHTTP2_DATA && end == end_of_stream::yes)
        deliver_data(self, frame->hd.stream_id, {}, end);
    return 0;
}

int http2_callbacks::data(
    nghttp2_session* session, std::uint8_t, std::int32_t id, const std::uint8_t* bytes, std::size_t n, void* user_data)
{
    // Returns the bytes to the connection's flow-control window at once. Back pressure comes from the windows of the
    // streams; the connection's window only bounds their total.
    nghttp2_session_consume_connection(session, n);
    deliver_data(connection(user_data), id, {reinterpret_cast<const char*>(bytes), n}, end_of_stream::no);
    return 0;
}

int http2_callbacks::stream_closed(nghttp2_session*, std::int32_t id, std::uint32_t code, void* user_data)
{
    connection(user_data).end_stream(id, to_close_reason(code));
    return 0;
}

int http2_callbacks::frame_sent(nghttp2_session*, const nghttp2_frame* frame, void* user_data)
{
    if (frame->hd.type != NGHTTP2_HEADERS)
        return 0;
    if (auto* const stream = find_stream(connection(user_data), frame->hd.stream_id))
        stream->headers_sent_ = true;
    return 0;
}

int http2_callbacks::frame_not_sent(nghttp2_session*, const nghttp2_frame* frame, int, void* user_data)
{
    // nghttp2 could not send the request, for example because of a GOAWAY, so it has not reached the peer.
    if (frame->hd.type == NGHTTP2_HEADERS)
        connection(user_data).end_stream(frame->hd.stream_id, close_reason::refused);
    return 0;
}

ssize_t http2_callbacks::read_body(nghttp2_session*, std::int32_t id, std::uint8_t* buf, std::size_t n,
    std::uint32_t* flags, nghttp2_data_source*, void* user_data)
{
    auto* const stream = find_stream(connection(user_data), id);
    if (stream == nullptr)
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    const auto count = stream->buffer_.take(buf, n);
    if (stream->buffer_.finished()) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(count);
    }
    if (count == 0) {
        stream->body_read_deferred_ = true;
        return NGHTTP2_ERR_DEFERRED;
    }
    return static_cast<ssize_t>(count);
}

void http2_callbacks::headers_complete(http2_connection& self, const nghttp2_frame* frame, end_of_stream end)
{
    const auto id = frame->hd.stream_id;
    if (self.side_ == http2_connection::side::server) {
        if (frame->headers.cat == NGHTTP2_HCAT_REQUEST)
            self.dispatch_request(id, end);
        else if (end == end_of_stream::yes)
            deliver_data(self, id, {}, end);
        return;
    }
    auto* const stream = find_stream(self, id);
    if (stream == nullptr || !stream->listener_)
        return;
    const auto listener = stream->listener_;
    const auto headers = std::exchange(stream->received_headers_, {});
    // nghttp2 reports the headers that follow an interim response in the same category as trailers, so
    // response_received_ distinguishes the two.
    if (is_interim(headers))
        listener->on_interim_response();
    else if (!std::exchange(stream->response_received_, true))
        listener->on_headers(headers, end);
    else if (end == end_of_stream::yes)
        listener->on_data({}, end);
}

bool http2_callbacks::is_interim(const header_list& headers)
{
    const auto status = find_header(headers, ":status");
    return status && status->starts_with('1');
}

void http2_callbacks::deliver_data(http2_connection& self, std::int32_t id, std::string_view bytes, end_of_stream end)
{
    auto* const stream = find_stream(self, id);
    if (stream == nullptr || !stream->listener_)
        return;
    const auto listener = stream->listener_;
    listener->on_data(bytes, end);
}

} // namespace ibisdyke::transport::detail
