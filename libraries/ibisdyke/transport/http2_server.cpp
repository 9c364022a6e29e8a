#include "ibisdyke/transport/http2_server.h"

#include "ibisdyke/core/error.h"

#include <QHostAddress>

#include <utility>

namespace ibisdyke::transport {

namespace {

/// With Qt's default of 50, most of 200 clients that connected at the same time had to wait 1 s for the retransmission
/// of their SYN. That is longer than the connect timeout of http2_client.
constexpr int listen_backlog = 1024;

} // namespace

http2_server* http2_server::create(const core::endpoint& address, const http2_limits& limits,
    http2_stream_acceptor& acceptor, traffic_meter* meter, QObject* parent)
{
    auto* const it = new http2_server(limits, acceptor, meter, parent);
    it->listener_.setListenBacklogSize(listen_backlog);
    if (it->listener_.listen(QHostAddress(address.address), address.port))
        return it;
    const auto reason = it->listener_.errorString().toStdString();
    delete it;
    throw core::system_failure("cannot listen on " + to_string(address) + ": " + reason);
}

http2_server::http2_server(
    const http2_limits& limits, http2_stream_acceptor& acceptor, traffic_meter* meter, QObject* parent)
    : QObject(parent)
    , limits_(limits)
    , acceptor_(acceptor)
    , meter_(meter)
{
    connect(&listener_, &QTcpServer::newConnection, this, &http2_server::accept_connections);
}

void http2_server::shut_down(std::function<void()> drained)
{
    drained_ = std::move(drained);
    shutting_down_ = true;
    listener_.close();
    for (auto* const it : connections_)
        it->shut_down();
    if (connections_.empty())
        QMetaObject::invokeMethod(
            this, [this] { drained_(); }, Qt::QueuedConnection);
}

std::size_t http2_server::open_streams() const
{
    std::size_t n = 0;
    for (const auto* const it : connections_)
        n += it->open_streams();
    return n;
}

core::endpoint http2_server::address() const
{
    return {listener_.serverAddress().toIPv4Address(), listener_.serverPort()};
}

void http2_server::accept_connections()
{
    while (auto* const socket = listener_.nextPendingConnection()) {
        auto* const it =
            http2_connection::create(socket, http2_connection::side::server, limits_, &acceptor_, meter_, this);
        connections_.insert(it);
        it->on_closed([this, it] { remove_connection(it); });
    }
}

void http2_server::remove_connection(http2_connection* connection)
{
    connections_.erase(connection);
    if (shutting_down_ && connections_.empty())
        drained_();
}

} // namespace ibisdyke::transport
