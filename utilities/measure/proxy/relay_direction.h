#pragma once

#include "measure/proxy/proxy_context.h"

#include <QObject>
#include <QTcpSocket>

#include <deque>
#include <functional>
#include <string>

namespace ibisdyke::measure {

/// One direction of a relayed connection. Forwards the bytes, and finally the close, in order and with the link's
/// delays, and holds them back while the link is cut.
class relay_direction : public QObject {
public:
    /// The sockets must outlive the object. `count` is called with the number of bytes that were forwarded.
    relay_direction(QTcpSocket& from, QTcpSocket& to, std::string sender, std::string receiver, proxy_context& context,
        std::function<void(std::size_t)> count, QObject* parent);

    /// Forwards the chunks that are due. Also called when a cut link is restored.
    void flush();

    /// Forwards due chunks and reads the available bytes, unless the receiver is not connected or too slow.
    void read();

private:
    struct chunk {
        core::time_point due;
        QByteArray bytes;
        /// Marks the end of the stream.
        bool end = false;
    };

    void end();
    void append(const QByteArray& bytes, bool end);
    void forward(const chunk& it);

    QTcpSocket& from_;
    QTcpSocket& to_;
    std::string sender_;
    std::string receiver_;
    proxy_context& context_;
    std::function<void(std::size_t)> count_;
    std::deque<chunk> waiting_;
    core::time_point last_due_;
};

} // namespace ibisdyke::measure
