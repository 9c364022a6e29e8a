#pragma once

#include "measure/proxy/relay_direction.h"
#include "measure/proxy/route.h"

#include <QObject>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>

#include <vector>

namespace ibisdyke::measure {

/// A relayed connection. Deletes itself when both of its sockets are closed.
class relayed_connection : public QObject {
public:
    /// Takes ownership of the accepted socket.
    relayed_connection(QTcpSocket* accepted, const route& path, proxy_context& context, QObject* parent);

    /// Destroys the directions before the sockets. Otherwise the close of a socket would be forwarded to the other one.
    ~relayed_connection() override;
    relayed_connection(const relayed_connection&) = delete;
    relayed_connection& operator=(const relayed_connection&) = delete;
    relayed_connection(relayed_connection&&) = delete;
    relayed_connection& operator=(relayed_connection&&) = delete;

    void flush();

    /// Aborts both connections at once.
    void abort();

private:
    void delete_when_ended();

    QTcpSocket* accepted_;
    QTcpSocket* connected_;
    relay_direction* to_target_ = nullptr;
    relay_direction* from_target_ = nullptr;
};

/// Relays the connections to an advertised endpoint.
class connection_relay : public QObject {
public:
    connection_relay(route path, proxy_context& context, QObject* parent);

    /// Starts listening. Throws core::system_failure.
    void open();

    /// Stops listening and aborts all connections, as the kernel does when the process has died. Later connection
    /// attempts are refused.
    void close();

    /// Forwards the bytes that were held back while a link was cut.
    void flush();

    const std::string& target() const { return path_.target; }

private:
    void accept();

    route path_;
    proxy_context& context_;
    QTcpServer listener_;
    /// Null for connections that have ended.
    std::vector<QPointer<relayed_connection>> connections_;
};

} // namespace ibisdyke::measure
