#include "ibisdyke/transport/http2_client.h"

#include <QHostAddress>
#include <QTimer>

#include <string>
#include <utility>

namespace ibisdyke::transport {

namespace {

/// Longer than a round trip between regions, but shorter than the 1 s after which the kernel retransmits a SYN. The SYN
/// to a VM that is still starting is lost, and waiting for its retransmission would delay the request.
constexpr core::milliseconds connect_timeout{400};

} // namespace

/// A stream that was opened before the connection was established. Forwards all calls to the actual stream once the
/// connection exists.
class http2_client::pending_stream final : public http2_stream {
public:
    pending_stream(header_list headers, end_of_stream end, std::shared_ptr<http2_stream_listener> listener)
        : headers_(std::move(headers))
        , end_(end)
        , listener_(std::move(listener))
    {
    }

    void send_headers(const header_list&, end_of_stream) override { }

    void send_data(std::string_view bytes, end_of_stream end) override
    {
        if (stream_) {
            stream_->send_data(bytes, end);
            return;
        }
        body_.append(bytes);
        body_end_ = end;
        has_body_ = true;
    }

    void reset(reset_reason reason) override
    {
        if (stream_)
            stream_->reset(reason);
        else
            fail();
    }

    void acknowledge(std::size_t n) override
    {
        if (stream_)
            stream_->acknowledge(n);
    }

    std::size_t unsent_bytes() const override { return stream_ ? stream_->unsent_bytes() : body_.size(); }

    void start(http2_connection& connection)
    {
        if (!listener_)
            return;
        stream_ = connection.open_stream(headers_, end_, std::exchange(listener_, nullptr));
        if (has_body_)
            stream_->send_data(std::exchange(body_, {}), body_end_);
    }

    void fail()
    {
        if (const auto listener = std::exchange(listener_, nullptr))
            listener->on_closed(close_reason::refused);
    }

    /// Releases the listener without calling it.
    void release_listener() { listener_.reset(); }

private:
    header_list headers_;
    end_of_stream end_;
    std::shared_ptr<http2_stream_listener> listener_;
    std::shared_ptr<http2_stream> stream_;
    std::string body_;
    end_of_stream body_end_ = end_of_stream::no;
    bool has_body_ = false;
};

http2_client::http2_client(const core::endpoint& peer, std::uint32_t source_address, const http2_limits& limits,
    traffic_meter* meter, QObject* parent)
    : QObject(parent)
    , peer_(peer)
    , source_address_(source_address)
    , limits_(limits)
    , meter_(meter)
{
}

http2_client::~http2_client()
{
    // A listener may own its stream. Pending streams must release their listeners to break the reference cycle.
    for (const auto& it : pending_)
        it->release_listener();
}

std::shared_ptr<http2_stream> http2_client::open_stream(
    const header_list& headers, end_of_stream end, std::shared_ptr<http2_stream_listener> listener)
{
    if (connection_ != nullptr && connection_->accepts_streams())
        return connection_->open_stream(headers, end, std::move(listener));
    auto stream = std::make_shared<pending_stream>(headers, end, std::move(listener));
    pending_.push_back(stream);
    connect_to_peer();
    return stream;
}

void http2_client::shut_down()
{
    if (connection_ != nullptr)
        connection_->shut_down();
}

void http2_client::connect_to_peer()
{
    if (connecting_ != nullptr)
        return;
    connecting_ = new QTcpSocket(this);
    auto* const socket = connecting_;
    if (source_address_ != 0)
        socket->bind(QHostAddress(source_address_));
    connect(socket, &QTcpSocket::connected, this, &http2_client::on_connected);
    connect(socket, &QTcpSocket::errorOccurred, this, [this, socket] {
        if (socket == connecting_)
            on_connect_failed();
    });
    QTimer::singleShot(connect_timeout, socket, [this, socket] {
        if (socket == connecting_)
            on_connect_failed();
    });
    socket->connectToHost(QHostAddress(peer_.address), peer_.port);
}

void http2_client::on_connected()
{
    auto* const socket = std::exchange(connecting_, nullptr);
    socket->disconnect(this);
    connection_ = http2_connection::create(socket, http2_connection::side::client, limits_, nullptr, meter_, this);
    auto* const connection = connection_;
    connection->on_closed([this, connection] {
        if (connection_ == connection)
            connection_ = nullptr;
    });
    const auto streams = std::exchange(pending_, {});
    for (const auto& it : streams)
        it->start(*connection);
}

void http2_client::on_connect_failed()
{
    auto* const socket = std::exchange(connecting_, nullptr);
    socket->abort();
    socket->deleteLater();
    const auto streams = std::exchange(pending_, {});
    for (const auto& it : streams)
        it->fail();
}

} // namespace ibisdyke::transport
