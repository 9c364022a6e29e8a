#pragma once

#include "measure/proxy/proxy_context.h"
#include "measure/proxy/route.h"

#include <QObject>
#include <QUdpSocket>

namespace ibisdyke::measure {

/// Relays the datagrams to an advertised endpoint. Drops, duplicates, delays and reorders them according to the link's
/// conditions.
class datagram_relay : public QObject {
public:
    /// Binds the socket. Throws core::system_failure.
    datagram_relay(const route& path, proxy_context& context, QObject* parent);

private:
    void read();
    bool is_misdirected(const QByteArray& bytes) const;
    void forward(const QByteArray& bytes, const std::string& from);
    void send_delayed(const QByteArray& bytes, const link_conditions& conditions);

    route path_;
    proxy_context& context_;
    QUdpSocket socket_;
};

} // namespace ibisdyke::measure
