#include "measure/proxy/relay_direction.h"

#include "measure/support/clock.h"

#include <QPointer>

#include <algorithm>
#include <utility>

namespace ibisdyke::measure {

namespace {

// Linux's minimum TCP retransmission timeout, the delay that a lost segment causes.
constexpr core::milliseconds retransmission_timeout{200};

// Number of bytes buffered for a slow receiver before the relay stops reading from the sender.
constexpr qint64 max_buffered_bytes = 1'048'576;

} // namespace

relay_direction::relay_direction(QTcpSocket& from, QTcpSocket& to, std::string sender, std::string receiver,
    proxy_context& context, std::function<void(std::size_t)> count, QObject* parent)
    : QObject(parent)
    , from_(from)
    , to_(to)
    , sender_(std::move(sender))
    , receiver_(std::move(receiver))
    , context_(context)
    , count_(std::move(count))
{
    from_.setReadBufferSize(max_buffered_bytes);
    connect(&from_, &QTcpSocket::readyRead, this, &relay_direction::read);
    connect(&from_, &QTcpSocket::disconnected, this, &relay_direction::end);
    connect(&to_, &QTcpSocket::connected, this, &relay_direction::read);
    connect(&to_, &QTcpSocket::bytesWritten, this, &relay_direction::read);
}

void relay_direction::flush()
{
    const auto now = read_clock();
    while (!waiting_.empty() && waiting_.front().due <= now) {
        if (context_.links.is_cut(sender_, receiver_))
            return;
        if (!waiting_.front().end && to_.state() != QAbstractSocket::ConnectedState)
            return;
        // The chunk is removed first, because forwarding the end of the connection calls this function again.
        const auto it = std::move(waiting_.front());
        waiting_.pop_front();
        forward(it);
    }
}

void relay_direction::read()
{
    flush();
    if (to_.state() != QAbstractSocket::ConnectedState || to_.bytesToWrite() >= max_buffered_bytes)
        return;
    if (from_.bytesAvailable() > 0)
        append(from_.readAll(), false);
}

void relay_direction::end()
{
    // Bytes held back by a cut link are lost: the sender's kernel would have to retransmit them, but the sender has
    // closed the connection.
    if (context_.links.is_cut(sender_, receiver_))
        waiting_.clear();
    else if (from_.bytesAvailable() > 0)
        append(from_.readAll(), false);
    append({}, true);
}

void relay_direction::append(const QByteArray& bytes, bool end)
{
    const auto conditions = context_.links.conditions(sender_, receiver_);
    auto delay = conditions.delay;
    if (context_.draw(conditions.loss))
        delay += retransmission_timeout;
    const auto now = read_clock();
    last_due_ = std::max(last_due_, now + delay);
    waiting_.push_back({last_due_, bytes, end});
    if (last_due_ <= now) {
        flush();
        return;
    }
    context_.delays->add(last_due_, [self = QPointer(this)] {
        if (self)
            self->flush();
    });
}

void relay_direction::forward(const chunk& it)
{
    if (it.end) {
        to_.disconnectFromHost();
        return;
    }
    to_.write(it.bytes);
    count_(static_cast<std::size_t>(it.bytes.size()));
}

} // namespace ibisdyke::measure
