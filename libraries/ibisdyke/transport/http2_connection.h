#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/transport/http2_stream.h"
#include "ibisdyke/transport/traffic_meter.h"

#include <QObject>
#include <QTcpSocket>
#include <QTimer>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

struct nghttp2_session;

namespace ibisdyke::transport {

namespace detail {
class http2_callbacks;
class http2_stream_state;
} // namespace detail

/// Limits of an HTTP/2 connection.
struct http2_limits {
    /// Flow-control window of each stream. Bounds the memory that the peer can occupy in this process with one stream.
    std::uint32_t stream_window_bytes = 256 * 1024;
    /// Flow-control window of the connection. Larger than the window of a stream, so that a stalled stream does not
    /// block the others.
    std::uint32_t connection_window_bytes = 16 * 1024 * 1024;
    std::uint32_t max_streams = 1000;
    /// While streams are open, a PING is sent when no byte has been received for this long.
    core::milliseconds ping_after{1000};
    /// While streams are open, the connection is considered lost when no byte has been received for this long.
    core::milliseconds lost_after{2500};
};

/// The client or server side of an HTTP/2 connection over a connected TCP socket. Must be used on the thread that
/// created it.
class http2_connection : public QObject {
public:
    enum class side : std::uint8_t {
        client,
        server,
    };

    /// Takes ownership of the socket. `acceptor` is used on the server side only and is null on the client side.
    /// `meter` may be null. Both must outlive the connection.
    static http2_connection* create(QTcpSocket* socket, side role, const http2_limits& limits,
        http2_stream_acceptor* acceptor, traffic_meter* meter, QObject* parent);

    ~http2_connection() override;
    http2_connection(const http2_connection&) = delete;
    http2_connection& operator=(const http2_connection&) = delete;
    http2_connection(http2_connection&&) = delete;
    http2_connection& operator=(http2_connection&&) = delete;

    /// Client side only. Sends a request. The listener is not called before this function has returned.
    std::shared_ptr<http2_stream> open_stream(
        const header_list& headers, end_of_stream end, std::shared_ptr<http2_stream_listener> listener);

    /// Sends GOAWAY. Open streams continue and new streams are refused. The connection closes after its last stream has
    /// ended.
    void shut_down();

    bool accepts_streams() const;
    std::size_t open_streams() const { return streams_.size(); }

    /// Sets the callback that runs when the connection has closed, after on_closed() of all listeners.
    void on_closed(std::function<void()> callback) { closed_callback_ = std::move(callback); }

private:
    friend class detail::http2_callbacks;
    friend class detail::http2_stream_state;

    http2_connection(QTcpSocket* socket, side role, const http2_limits& limits, http2_stream_acceptor* acceptor,
        traffic_meter* meter, QObject* parent);

    void initialise_session();
    void read_socket();
    /// Schedules one send_pending() from the event loop.
    void schedule_send();
    void send_pending();
    void check_liveness();
    void close(close_reason reason);
    void end_stream(std::int32_t id, close_reason reason);
    void dispatch_request(std::int32_t id, end_of_stream end);

    QTcpSocket* socket_;
    side side_;
    http2_limits limits_;
    http2_stream_acceptor* acceptor_;
    traffic_meter* meter_;
    nghttp2_session* session_ = nullptr;
    std::map<std::int32_t, std::shared_ptr<detail::http2_stream_state>> streams_;
    QTimer liveness_timer_;
    core::time_point last_received_;
    bool send_scheduled_ = false;
    bool shutting_down_ = false;
    bool closed_ = false;
    std::function<void()> closed_callback_;
};

} // namespace ibisdyke::transport
