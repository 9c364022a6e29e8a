#include "ibisdyke/transport/http2_stream_state.h"

#include "ibisdyke/observability/log.h"
#include "ibisdyke/transport/http2_callbacks.h"

#include <utility>

namespace ibisdyke::transport::detail {

namespace {

std::uint32_t to_error_code(reset_reason reason)
{
    switch (reason) {
    case reset_reason::refused:
        return NGHTTP2_REFUSED_STREAM;
    case reset_reason::cancelled:
        return NGHTTP2_CANCEL;
    case reset_reason::failed:
        break;
    }
    return NGHTTP2_INTERNAL_ERROR;
}

} // namespace

std::vector<nghttp2_nv> to_name_values(const header_list& headers)
{
    std::vector<nghttp2_nv> result;
    result.reserve(headers.size());
    for (const auto& it : headers) {
        // The const_cast is safe. With NGHTTP2_NV_FLAG_NONE, nghttp2 copies names and values and never writes to them;
        // its C interface only lacks the const.
        auto* const name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(it.name.data())); // NOLINT
        auto* const value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(it.value.data())); // NOLINT
        result.push_back({name, value, it.name.size(), it.value.size(), NGHTTP2_NV_FLAG_NONE});
    }
    return result;
}

void log_nghttp2_error(int code, const char* call)
{
    if (code < 0)
        observability::write_log(observability::log_level::warning, "http2_call_failed",
            {{"call", call}, {"error", nghttp2_strerror(code)}});
}

nghttp2_data_provider http2_stream_state::body_provider()
{
    nghttp2_data_provider provider{};
    provider.read_callback = &http2_callbacks::read_body;
    return provider;
}

void http2_stream_state::send_headers(const header_list& headers, end_of_stream end)
{
    if (connection_ == nullptr || response_submitted_)
        return;
    response_submitted_ = true;
    const auto fields = to_name_values(headers);
    auto provider = body_provider();
    const auto* const body = end == end_of_stream::yes ? nullptr : &provider;
    log_nghttp2_error(
        nghttp2_submit_response(connection_->session_, id_, fields.data(), fields.size(), body), "submit_response");
    connection_->schedule_send();
}

void http2_stream_state::send_data(std::string_view bytes, end_of_stream end)
{
    if (connection_ == nullptr)
        return;
    buffer_.append(bytes, end);
    drain_reported_ = false;
    if (std::exchange(body_read_deferred_, false))
        log_nghttp2_error(nghttp2_session_resume_data(connection_->session_, id_), "resume_data");
    connection_->schedule_send();
}

void http2_stream_state::reset(reset_reason reason)
{
    if (connection_ == nullptr)
        return;
    log_nghttp2_error(nghttp2_submit_rst_stream(connection_->session_, NGHTTP2_FLAG_NONE, id_, to_error_code(reason)),
        "submit_rst_stream");
    connection_->schedule_send();
}

void http2_stream_state::acknowledge(std::size_t n)
{
    if (connection_ == nullptr)
        return;
    log_nghttp2_error(nghttp2_session_consume_stream(connection_->session_, id_, n), "consume_stream");
    connection_->schedule_send();
}

} // namespace ibisdyke::transport::detail
