#include "ibisdyke/transport/http2_connection.h"

#include "ibisdyke/transport/clock.h"
#include "ibisdyke/transport/http2_callbacks.h"
#include "ibisdyke/transport/http2_stream_state.h"

#include <nghttp2/nghttp2.h>

#include <array>
#include <utility>
#include <vector>

namespace ibisdyke::transport {

namespace {

/// No further frames are produced while the socket buffers this many bytes that the kernel has not taken yet. A short
/// queue keeps a small answer from waiting behind a large one.
constexpr qint64 max_socket_buffer_bytes = 65'536;

} // namespace

http2_connection* http2_connection::create(QTcpSocket* socket, side role, const http2_limits& limits,
    http2_stream_acceptor* acceptor, traffic_meter* meter, QObject* parent)
{
    auto* const it = new http2_connection(socket, role, limits, acceptor, meter, parent);
    it->initialise_session();
    return it;
}

http2_connection::http2_connection(QTcpSocket* socket, side role, const http2_limits& limits,
    http2_stream_acceptor* acceptor, traffic_meter* meter, QObject* parent)
    : QObject(parent)
    , socket_(socket)
    , side_(role)
    , limits_(limits)
    , acceptor_(acceptor)
    , meter_(meter)
    , last_received_(read_clock())
{
    socket_->setParent(this);
    socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    connect(socket_, &QTcpSocket::readyRead, this, &http2_connection::read_socket);
    connect(socket_, &QTcpSocket::bytesWritten, this, &http2_connection::schedule_send);
    connect(socket_, &QTcpSocket::disconnected, this, [this] { close(close_reason::connection_lost); });
    connect(&liveness_timer_, &QTimer::timeout, this, &http2_connection::check_liveness);
    liveness_timer_.start(limits_.ping_after);
}

http2_connection::~http2_connection()
{
    // A listener may own its stream. Streams must release their listeners to break the reference cycle.
    for (auto& [id, stream] : streams_) {
        stream->connection_ = nullptr;
        stream->listener_.reset();
    }
    nghttp2_session_del(session_);
}

void http2_connection::initialise_session()
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &detail::http2_callbacks::begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &detail::http2_callbacks::header);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &detail::http2_callbacks::frame_received);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &detail::http2_callbacks::data);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &detail::http2_callbacks::stream_closed);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, &detail::http2_callbacks::frame_sent);
    nghttp2_session_callbacks_set_on_frame_not_send_callback(callbacks, &detail::http2_callbacks::frame_not_sent);

    nghttp2_option* options = nullptr;
    nghttp2_option_new(&options);
    // A stream's window is updated only by acknowledge(), so that a slow consumer exerts back pressure on the sender.
    nghttp2_option_set_no_auto_window_update(options, 1);
    if (side_ == side::client)
        nghttp2_session_client_new2(&session_, callbacks, this, options);
    else
        nghttp2_session_server_new2(&session_, callbacks, this, options);
    nghttp2_option_del(options);
    nghttp2_session_callbacks_del(callbacks);

    const std::array settings{
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits_.max_streams},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, limits_.stream_window_bytes},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    };
    // ENABLE_PUSH, the last entry, must not be sent by a server.
    const auto count = side_ == side::client ? settings.size() : settings.size() - 1;
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), count);
    nghttp2_session_set_local_window_size(
        session_, NGHTTP2_FLAG_NONE, 0, static_cast<std::int32_t>(limits_.connection_window_bytes));
    schedule_send();
}

std::shared_ptr<http2_stream> http2_connection::open_stream(
    const header_list& headers, end_of_stream end, std::shared_ptr<http2_stream_listener> listener)
{
    auto stream = std::make_shared<detail::http2_stream_state>(*this);
    stream->listener_ = std::move(listener);
    const auto fields = detail::to_name_values(headers);
    auto provider = stream->body_provider();
    const auto* const body = end == end_of_stream::yes ? nullptr : &provider;
    const auto id = nghttp2_submit_request(session_, nullptr, fields.data(), fields.size(), body, nullptr);
    if (id < 0) {
        detail::log_nghttp2_error(id, "submit_request");
        stream->connection_ = nullptr;
        QMetaObject::invokeMethod(
            this, [target = stream->listener_] { target->on_closed(close_reason::refused); }, Qt::QueuedConnection);
        return stream;
    }
    stream->id_ = id;
    streams_.emplace(id, stream);
    schedule_send();
    return stream;
}

void http2_connection::shut_down()
{
    if (closed_ || std::exchange(shutting_down_, true))
        return;
    const auto last_stream_id = nghttp2_session_get_last_proc_stream_id(session_);
    detail::log_nghttp2_error(
        nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, last_stream_id, NGHTTP2_NO_ERROR, nullptr, 0),
        "submit_goaway");
    schedule_send();
}

bool http2_connection::accepts_streams() const
{
    return !closed_ && !shutting_down_ && nghttp2_session_check_request_allowed(session_) != 0;
}

void http2_connection::read_socket()
{
    while (!closed_ && socket_->bytesAvailable() > 0) {
        const auto bytes = socket_->read(max_socket_buffer_bytes);
        last_received_ = read_clock();
        if (meter_ != nullptr)
            meter_->add_received(static_cast<std::uint64_t>(bytes.size()));
        const auto rc = nghttp2_session_mem_recv(
            session_, reinterpret_cast<const std::uint8_t*>(bytes.constData()), static_cast<std::size_t>(bytes.size()));
        if (rc < 0) {
            detail::log_nghttp2_error(static_cast<int>(rc), "mem_recv");
            close(close_reason::connection_lost);
            return;
        }
    }
    schedule_send();
}

void http2_connection::schedule_send()
{
    // nghttp2 does not allow sending from within its callbacks. Sending once for several submissions also saves system
    // calls.
    if (closed_ || std::exchange(send_scheduled_, true))
        return;
    QMetaObject::invokeMethod(this, &http2_connection::send_pending, Qt::QueuedConnection);
}

void http2_connection::send_pending()
{
    send_scheduled_ = false;
    if (closed_)
        return;
    while (socket_->bytesToWrite() < max_socket_buffer_bytes) {
        const std::uint8_t* bytes = nullptr;
        const auto n = nghttp2_session_mem_send(session_, &bytes);
        if (n < 0) {
            detail::log_nghttp2_error(static_cast<int>(n), "mem_send");
            close(close_reason::connection_lost);
            return;
        }
        if (n == 0)
            break;
        if (meter_ != nullptr)
            meter_->add_sent(static_cast<std::uint64_t>(n));
        socket_->write(reinterpret_cast<const char*>(bytes), n);
    }
    // Listeners may open or end streams and thereby modify streams_, so the loop that calls them runs over a copy.
    std::vector<std::shared_ptr<detail::http2_stream_state>> drained;
    for (const auto& [id, stream] : streams_) {
        if (!stream->drain_reported_ && stream->buffer_.size() == 0)
            drained.push_back(stream);
    }
    for (const auto& it : drained) {
        it->drain_reported_ = true;
        if (it->listener_)
            it->listener_->on_drained();
    }
    if (nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0)
        socket_->disconnectFromHost();
    if (shutting_down_ && streams_.empty() && socket_->bytesToWrite() == 0)
        socket_->disconnectFromHost();
}

void http2_connection::check_liveness()
{
    if (closed_ || streams_.empty())
        return;
    const auto idle_time = read_clock() - last_received_;
    if (idle_time >= limits_.lost_after) {
        socket_->abort();
        close(close_reason::connection_lost);
        return;
    }
    if (idle_time >= limits_.ping_after) {
        detail::log_nghttp2_error(nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr), "submit_ping");
        schedule_send();
    }
}

void http2_connection::close(close_reason reason)
{
    if (std::exchange(closed_, true))
        return;
    while (!streams_.empty()) {
        const auto& [id, stream] = *streams_.begin();
        end_stream(id, stream->headers_sent_ ? reason : close_reason::refused);
    }
    if (closed_callback_)
        closed_callback_();
    deleteLater();
}

void http2_connection::end_stream(std::int32_t id, close_reason reason)
{
    const auto it = streams_.find(id);
    if (it == streams_.end())
        return;
    const auto stream = it->second;
    streams_.erase(it);
    stream->connection_ = nullptr;
    const auto listener = std::exchange(stream->listener_, nullptr);
    if (listener)
        listener->on_closed(reason);
    if (shutting_down_)
        schedule_send();
}

void http2_connection::dispatch_request(std::int32_t id, end_of_stream end)
{
    const auto it = streams_.find(id);
    if (it == streams_.end())
        return;
    const auto stream = it->second;
    if (acceptor_ != nullptr && !shutting_down_)
        stream->listener_ = acceptor_->accept(stream, stream->received_headers_, end);
    if (!stream->listener_)
        stream->reset(reset_reason::refused);
}

} // namespace ibisdyke::transport
