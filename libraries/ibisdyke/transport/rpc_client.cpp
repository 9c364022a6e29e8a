#include "ibisdyke/transport/rpc_client.h"

#include "ibisdyke/transport/rpc_framing.h"

#include <QTimer>

#include <utility>

namespace ibisdyke::transport {

namespace {

header_list request_headers(const std::string& path)
{
    return {{":method", "POST"}, {":scheme", "http"}, {":authority", "ibisdyke"}, {":path", path}};
}

/// A call in progress.
class call_listener final : public http2_stream_listener, public std::enable_shared_from_this<call_listener> {
public:
    explicit call_listener(rpc_client::callback done)
        : done_(std::move(done))
    {
    }

    void start_timeout(std::shared_ptr<http2_stream> stream, core::milliseconds timeout)
    {
        stream_ = std::move(stream);
        if (!done_)
            return;
        timer_.setSingleShot(true);
        QObject::connect(&timer_, &QTimer::timeout, &timer_, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->on_timeout();
        });
        timer_.start(timeout);
    }

    void on_headers(const header_list& headers, end_of_stream) override
    {
        status_ok_ = find_header(headers, ":status") == "200";
    }

    void on_data(std::string_view bytes, end_of_stream) override
    {
        if (stream_)
            stream_->acknowledge(bytes.size());
        result_.body.append(bytes);
    }

    void on_closed(close_reason reason) override
    {
        if (reason == close_reason::completed && status_ok_)
            result_.status = rpc_status::ok;
        if (reason == close_reason::refused)
            result_.status = rpc_status::not_run;
        finish();
    }

private:
    void on_timeout()
    {
        const auto stream = stream_;
        finish();
        if (stream)
            stream->reset(reset_reason::cancelled);
    }

    void finish()
    {
        timer_.stop();
        stream_.reset();
        if (const auto done = std::exchange(done_, nullptr))
            done(result_);
    }

    rpc_client::callback done_;
    std::shared_ptr<http2_stream> stream_;
    QTimer timer_;
    rpc_result result_;
    bool status_ok_ = false;
};

class subscription_listener final : public http2_stream_listener, public rpc_subscription {
public:
    subscription_listener(message_callback on_message, closed_callback on_closed)
        : on_message_(std::move(on_message))
        , on_closed_(std::move(on_closed))
    {
    }

    void attach(std::shared_ptr<http2_stream> stream) { stream_ = std::move(stream); }

    void cancel() override
    {
        on_message_ = nullptr;
        on_closed_ = nullptr;
        if (const auto stream = std::exchange(stream_, nullptr))
            stream->reset(reset_reason::cancelled);
    }

    void on_headers(const header_list&, end_of_stream) override { }

    void on_data(std::string_view bytes, end_of_stream) override
    {
        if (stream_)
            stream_->acknowledge(bytes.size());
        splitter_.append(bytes);
        while (const auto message = splitter_.next()) {
            if (on_message_)
                on_message_(*message);
        }
        if (splitter_.failed() && stream_)
            stream_->reset(reset_reason::cancelled);
    }

    void on_closed(close_reason) override
    {
        stream_.reset();
        on_message_ = nullptr;
        if (const auto closed = std::exchange(on_closed_, nullptr))
            closed();
    }

private:
    message_callback on_message_;
    closed_callback on_closed_;
    std::shared_ptr<http2_stream> stream_;
    message_splitter splitter_;
};

} // namespace

void rpc_client::call(const std::string& path, const std::string& body, core::milliseconds timeout, callback done)
{
    const auto listener = std::make_shared<call_listener>(std::move(done));
    auto stream = connection_.open_stream(request_headers(path), end_of_stream::no, listener);
    stream->send_data(body, end_of_stream::yes);
    listener->start_timeout(std::move(stream), timeout);
}

std::shared_ptr<rpc_subscription> rpc_subscription::create(http2_client& connection, const std::string& path,
    const std::string& body, message_callback on_message, closed_callback on_closed)
{
    const auto listener = std::make_shared<subscription_listener>(std::move(on_message), std::move(on_closed));
    auto stream = connection.open_stream(request_headers(path), end_of_stream::no, listener);
    stream->send_data(body, end_of_stream::yes);
    listener->attach(std::move(stream));
    return listener;
}

} // namespace ibisdyke::transport
