#include "measure/flows/fabric.h"

#include "ibisdyke/core/error.h"

#include <QHostAddress>
#include <QNetworkDatagram>
#include <QVariant>

namespace ibisdyke::measure {

namespace {

constexpr int receive_buffer_bytes = 4'194'304;

} // namespace

fabric::fabric(const core::endpoint& address, const core::snapshot_publisher<balancer_endpoints>& balancers,
    std::uint64_t seed, QObject* parent)
    : QObject(parent)
    , balancers_(balancers)
    , random_(seed)
    , socket_(this)
{
    if (!socket_.bind(QHostAddress(address.address), address.port))
        throw core::system_failure("fabric: cannot listen on " + to_string(address));
    socket_.setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption, receive_buffer_bytes);
    connect(&socket_, &QUdpSocket::readyRead, this, &fabric::read);
}

void fabric::send(const flow_packet& it)
{
    const auto healthy = balancers_.load();
    if (!healthy || healthy->empty())
        return;
    const auto& to = (*healthy)[std::uniform_int_distribution<std::size_t>(0, healthy->size() - 1)(random_)];
    const auto bytes = encode(it);
    socket_.writeDatagram(reinterpret_cast<const char*>(bytes.data()), static_cast<qint64>(bytes.size()),
        QHostAddress(to.address), to.port);
}

void fabric::read()
{
    while (socket_.hasPendingDatagrams()) {
        const auto datagram = socket_.receiveDatagram().data();
        const auto packet = decode_flow_packet({datagram.constData(), static_cast<std::size_t>(datagram.size())});
        if (packet && callback_)
            callback_(*packet);
    }
}

} // namespace ibisdyke::measure
