#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/transport/http2_connection.h"

#include <QObject>
#include <QTcpSocket>

#include <vector>

namespace ibisdyke::transport {

/// Sends requests to one peer over a single HTTP/2 connection. The connection is opened on demand, and a new one is
/// opened after it was lost. Must be used on the thread that created it.
class http2_client : public QObject {
public:
    /// `source_address` is the local IPv4 address (host byte order) to which connections are bound; 0 lets the system
    /// choose. `meter` may be null; otherwise it must outlive the client.
    http2_client(const core::endpoint& peer, std::uint32_t source_address, const http2_limits& limits,
        traffic_meter* meter, QObject* parent);

    /// Ends all streams without calling their listeners.
    ~http2_client() override;
    http2_client(const http2_client&) = delete;
    http2_client& operator=(const http2_client&) = delete;
    http2_client(http2_client&&) = delete;
    http2_client& operator=(http2_client&&) = delete;

    /// Sends a request. If no connection is established within the connect timeout, the listener is closed with
    /// close_reason::refused, because nothing has reached the peer.
    std::shared_ptr<http2_stream> open_stream(
        const header_list& headers, end_of_stream end, std::shared_ptr<http2_stream_listener> listener);

    /// Sends GOAWAY on the current connection. Streams that are opened later use a new connection.
    void shut_down();

    const core::endpoint& peer() const { return peer_; }
    /// Whether a connection to the peer is established.
    bool is_connected() const { return connection_ != nullptr; }
    std::size_t open_streams() const { return connection_ != nullptr ? connection_->open_streams() : 0; }

private:
    class pending_stream;

    void connect_to_peer();
    void on_connected();
    void on_connect_failed();

    core::endpoint peer_;
    std::uint32_t source_address_;
    http2_limits limits_;
    traffic_meter* meter_;
    QTcpSocket* connecting_ = nullptr;
    http2_connection* connection_ = nullptr;
    std::vector<std::shared_ptr<pending_stream>> pending_;
};

} // namespace ibisdyke::transport
