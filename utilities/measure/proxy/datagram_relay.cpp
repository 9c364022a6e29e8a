#include "measure/proxy/datagram_relay.h"

#include "ibisdyke/core/error.h"
#include "measure/flows/flow_packet.h"
#include "measure/support/clock.h"

#include <QHostAddress>
#include <QNetworkDatagram>
#include <QVariant>
#include <QtEndian>

namespace ibisdyke::measure {

namespace {

constexpr int receive_buffer_bytes = 4'194'304;

// A reordered datagram may arrive after datagrams that were sent up to this much later.
constexpr std::int64_t max_reorder_ms = 10;

constexpr int header_length_bytes = 2;

} // namespace

datagram_relay::datagram_relay(const route& path, proxy_context& context, QObject* parent)
    : QObject(parent)
    , path_(path)
    , context_(context)
    , socket_(this)
{
    if (!socket_.bind(QHostAddress(path.advertised_endpoint.address), path.advertised_endpoint.port))
        throw core::system_failure("proxy: cannot listen on " + to_string(path.advertised_endpoint));
    socket_.setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption, receive_buffer_bytes);
    connect(&socket_, &QUdpSocket::readyRead, this, &datagram_relay::read);
}

void datagram_relay::read()
{
    while (socket_.hasPendingDatagrams()) {
        const auto it = socket_.receiveDatagram();
        if (!it.isValid())
            continue;
        if (is_misdirected(it.data()))
            ++context_.misdirected_packets;
        forward(it.data(), context_.name_of(it.senderAddress().toIPv4Address()));
    }
}

bool datagram_relay::is_misdirected(const QByteArray& bytes) const
{
    if (!path_.service || bytes.size() < header_length_bytes)
        return false;
    // A datagram to an agent consists of the header's length, the header and the IP packet.
    const auto length = qFromBigEndian<quint16>(bytes.constData());
    const auto packet = bytes.mid(header_length_bytes + length);
    const auto decoded = decode_flow_packet({packet.constData(), static_cast<std::size_t>(packet.size())});
    return decoded && decoded->key.service != *path_.service;
}

void datagram_relay::forward(const QByteArray& bytes, const std::string& from)
{
    if (context_.links.is_cut(from, path_.target))
        return;
    const auto conditions = context_.links.conditions(from, path_.target);
    if (context_.draw(conditions.loss))
        return;
    send_delayed(bytes, conditions);
    if (context_.draw(conditions.duplicate))
        send_delayed(bytes, conditions);
}

void datagram_relay::send_delayed(const QByteArray& bytes, const link_conditions& conditions)
{
    auto delay = conditions.delay;
    if (context_.draw(conditions.reorder))
        delay += core::milliseconds(std::uniform_int_distribution<std::int64_t>(1, max_reorder_ms)(context_.random));
    if (delay.count() == 0) {
        socket_.writeDatagram(bytes, QHostAddress(path_.listen_endpoint.address), path_.listen_endpoint.port);
        return;
    }
    context_.delays->add(read_clock() + delay, [this, bytes] {
        socket_.writeDatagram(bytes, QHostAddress(path_.listen_endpoint.address), path_.listen_endpoint.port);
    });
}

} // namespace ibisdyke::measure
