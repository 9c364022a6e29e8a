#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/transport/http2_connection.h"

#include <QObject>
#include <QTcpServer>

#include <functional>
#include <set>

namespace ibisdyke::transport {

/// Accepts HTTP/2 connections (cleartext with prior knowledge) on one address. Must be used on the thread that created
/// it.
class http2_server : public QObject {
public:
    /// Starts to listen. Throws core::system_failure when the address cannot be bound. `meter` may be null. `acceptor`
    /// and `meter` must outlive the server.
    static http2_server* create(const core::endpoint& address, const http2_limits& limits,
        http2_stream_acceptor& acceptor, traffic_meter* meter, QObject* parent);

    /// Stops listening and sends GOAWAY on all connections. `drained` runs when all streams have ended and all
    /// connections are closed.
    void shut_down(std::function<void()> drained);

    std::size_t open_streams() const;

    /// Returns the local address. Contains the actual port when the server was created with port 0.
    core::endpoint address() const;

private:
    http2_server(const http2_limits& limits, http2_stream_acceptor& acceptor, traffic_meter* meter, QObject* parent);

    void accept_connections();
    void remove_connection(http2_connection* connection);

    QTcpServer listener_;
    http2_limits limits_;
    http2_stream_acceptor& acceptor_;
    traffic_meter* meter_;
    std::set<http2_connection*> connections_;
    bool shutting_down_ = false;
    std::function<void()> drained_;
};

} // namespace ibisdyke::transport
