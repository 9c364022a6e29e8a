#include "measure/proxy/connection_relay.h"

#include "ibisdyke/core/error.h"

#include <QHostAddress>

#include <algorithm>
#include <utility>

namespace ibisdyke::measure {

relayed_connection::relayed_connection(QTcpSocket* accepted, const route& path, proxy_context& context, QObject* parent)
    : QObject(parent)
    , accepted_(accepted)
    , connected_(new QTcpSocket(this))
{
    accepted_->setParent(this);
    accepted_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    connected_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    const auto sender = context.name_of(accepted_->peerAddress().toIPv4Address());
    const auto count = [&context, sender, kind = path.kind](std::size_t n) {
        if (kind == route_kind::control)
            context.control_bytes[sender] += n;
    };
    to_target_ = new relay_direction(*accepted_, *connected_, sender, path.target, context, count, this);
    from_target_ = new relay_direction(*connected_, *accepted_, path.target, sender, context, count, this);
    connect(accepted_, &QTcpSocket::disconnected, this, &relayed_connection::delete_when_ended);
    connect(connected_, &QTcpSocket::disconnected, this, &relayed_connection::delete_when_ended);
    connect(connected_, &QTcpSocket::errorOccurred, this, [this] {
        // A refused connection emits no disconnected signal.
        if (connected_->state() != QAbstractSocket::ConnectedState)
            accepted_->abort();
    });
    connected_->connectToHost(QHostAddress(path.listen_endpoint.address), path.listen_endpoint.port);
}

relayed_connection::~relayed_connection()
{
    delete to_target_;
    delete from_target_;
}

void relayed_connection::flush()
{
    to_target_->flush();
    from_target_->flush();
    to_target_->read();
    from_target_->read();
}

void relayed_connection::abort()
{
    accepted_->abort();
    connected_->abort();
    deleteLater();
}

void relayed_connection::delete_when_ended()
{
    const bool ended = accepted_->state() == QAbstractSocket::UnconnectedState
        && connected_->state() == QAbstractSocket::UnconnectedState;
    if (ended)
        deleteLater();
}

connection_relay::connection_relay(route path, proxy_context& context, QObject* parent)
    : QObject(parent)
    , path_(std::move(path))
    , context_(context)
    , listener_(this)
{
    connect(&listener_, &QTcpServer::newConnection, this, &connection_relay::accept);
}

void connection_relay::open()
{
    if (listener_.isListening())
        return;
    if (!listener_.listen(QHostAddress(path_.advertised_endpoint.address), path_.advertised_endpoint.port))
        throw core::system_failure("proxy: cannot listen on " + to_string(path_.advertised_endpoint) + ": "
            + listener_.errorString().toStdString());
}

void connection_relay::close()
{
    listener_.close();
    for (const auto& it : connections_) {
        if (it)
            it->abort();
    }
    connections_.clear();
}

void connection_relay::flush()
{
    for (const auto& it : connections_) {
        if (it)
            it->flush();
    }
}

void connection_relay::accept()
{
    connections_.erase(std::remove(connections_.begin(), connections_.end(), nullptr), connections_.end());
    while (auto* const socket = listener_.nextPendingConnection())
        connections_.emplace_back(new relayed_connection(socket, path_, context_, this));
}

} // namespace ibisdyke::measure
