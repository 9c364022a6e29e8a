#pragma once

#include "ibisdyke/transport/http2_connection.h"
#include "ibisdyke/transport/http2_stream_state.h"

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ibisdyke::transport::detail {

/// Callbacks of the nghttp2 session. They must not throw, because exceptions cannot propagate through C code.
class http2_callbacks {
public:
    static int begin_headers(nghttp2_session*, const nghttp2_frame* frame, void* user_data);
    static int header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name, std::size_t name_size,
        const std::uint8_t* value, std::size_t value_size, std::uint8_t, void* user_data);
    static int frame_received(nghttp2_session*, const nghttp2_frame* frame, void* user_data);
    static int data(nghttp2_session* session, std::uint8_t, std::int32_t id, const std::uint8_t* bytes, std::size_t n,
        void* user_data);
    static int stream_closed(nghttp2_session*, std::int32_t id, std::uint32_t code, void* user_data);
    static int frame_sent(nghttp2_session*, const nghttp2_frame* frame, void* user_data);
    static int frame_not_sent(nghttp2_session*, const nghttp2_frame* frame, int, void* user_data);
    static ssize_t read_body(nghttp2_session*, std::int32_t id, std::uint8_t* buf, std::size_t n, std::uint32_t* flags,
        nghttp2_data_source*, void* user_data);

private:
    static http2_connection& connection(void* user_data);
    static http2_stream_state* find_stream(http2_connection& self, std::int32_t id);
    static void headers_complete(http2_connection& self, const nghttp2_frame* frame, end_of_stream end);
    static bool is_interim(const header_list& headers);
    static void deliver_data(http2_connection& self, std::int32_t id, std::string_view bytes, end_of_stream end);
};

} // namespace ibisdyke::transport::detail
