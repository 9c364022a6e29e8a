#include "measure/flows/upstream_packets.h"

#include "ibisdyke/core/error.h"
#include "measure/support/clock.h"

#include <QHostAddress>
#include <QNetworkDatagram>
#include <QVariant>

#include <algorithm>
#include <utility>

namespace ibisdyke::measure {

namespace {

constexpr int receive_buffer_bytes = 4'194'304;

} // namespace

upstream_packets::upstream_packets(upstream_packets_spec spec, std::uint64_t seed, QObject* parent)
    : QObject(parent)
    , spec_(std::move(spec))
    , random_(seed)
{
}

void upstream_packets::start()
{
    connections_.clear();
    paused_ = false;
    begin_cold_start(core::milliseconds{0});
    socket_ = std::make_unique<QUdpSocket>();
    if (!socket_->bind(QHostAddress(spec_.listen.address), spec_.listen.port))
        throw core::system_failure("upstream " + spec_.name + ": cannot listen on " + to_string(spec_.listen));
    socket_->setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption, receive_buffer_bytes);
    connect(socket_.get(), &QUdpSocket::readyRead, this, &upstream_packets::read);
}

void upstream_packets::begin_cold_start(core::milliseconds grace)
{
    const auto now = read_clock();
    cold_ = {now, spec_.cold_share, spec_.cold_ramp};
    overload_counts_from_ = now + grace;
}

void upstream_packets::stop()
{
    socket_.reset();
    connections_.clear();
}

void upstream_packets::pause()
{
    paused_ = true;
}

void upstream_packets::resume()
{
    paused_ = false;
    read();
}

upstream_packets_counts upstream_packets::counts() const
{
    auto result = counts_;
    result.open_flows = connections_.size();
    return result;
}

void upstream_packets::read()
{
    while (socket_ && !paused_ && socket_->hasPendingDatagrams()) {
        const auto datagram = socket_->receiveDatagram().data();
        const auto packet = decode_flow_packet({datagram.constData(), static_cast<std::size_t>(datagram.size())});
        if (packet)
            handle(*packet);
    }
}

void upstream_packets::handle(const flow_packet& it)
{
    const auto now = read_clock();
    ++counts_.packets;
    counts_.last_packet = now;
    if (it.key.service != spec_.service_address || it.name != spec_.service) {
        ++counts_.misrouted;
        return;
    }
    const auto found = connections_.find(it.key);
    if (it.kind == packet_kind::open) {
        // A retransmitted SYN gets the same answer as the first SYN.
        if (found == connections_.end())
            count_new_flow(now);
        const auto cookie = found == connections_.end() ? static_cast<std::uint32_t>(random_()) : found->second.cookie;
        connections_[it.key] = {cookie};
        answer(it, packet_kind::open_answer, cookie);
        return;
    }
    if (found == connections_.end() || found->second.cookie != it.cookie) {
        answer(it, packet_kind::reset, 0);
        return;
    }
    if (it.kind == packet_kind::close) {
        connections_.erase(found);
        answer(it, packet_kind::close_answer, it.cookie);
        return;
    }
    answer(it, packet_kind::data_answer, it.cookie);
}

void upstream_packets::count_new_flow(core::time_point now)
{
    counts_.last_new_flow = now;
    new_flows_.push_back(now);
    while (new_flows_.front() <= now - std::chrono::seconds(1))
        new_flows_.pop_front();
    const auto share = cold_.load_share(now);
    if (spec_.new_flows_per_s <= 0 || share >= 1 || now < overload_counts_from_)
        return;
    // One flow per second is always within the limit, even when the load share is close to 0.
    const auto limit = std::max(1.0, spec_.new_flows_per_s * share);
    if (static_cast<double>(new_flows_.size()) > limit)
        ++counts_.cold_overload;
}

void upstream_packets::answer(const flow_packet& it, packet_kind kind, std::uint32_t cookie)
{
    const auto bytes = encode({it.key, kind, it.sequence, cookie, spec_.name});
    socket_->writeDatagram(reinterpret_cast<const char*>(bytes.data()), static_cast<qint64>(bytes.size()),
        QHostAddress(spec_.callers.address), spec_.callers.port);
}

} // namespace ibisdyke::measure
