#include "ibisdyke/transport/rpc_router.h"

#include "ibisdyke/transport/rpc_framing.h"

#include <utility>

namespace ibisdyke::transport {

namespace {

/// Collects the body of a request and calls on_request() when the body is complete.
class request_listener : public http2_stream_listener {
public:
    explicit request_listener(std::shared_ptr<http2_stream> stream)
        : stream_(std::move(stream))
    {
    }

    void on_headers(const header_list&, end_of_stream) override { }

    void on_data(std::string_view bytes, end_of_stream end) override
    {
        stream_->acknowledge(bytes.size());
        if (body_.size() + bytes.size() > max_message_bytes) {
            stream_->reset(reset_reason::refused);
            return;
        }
        body_.append(bytes);
        if (end == end_of_stream::yes)
            complete();
    }

    void on_closed(close_reason) override { stream_open_ = false; }

    void complete()
    {
        if (!std::exchange(completed_, true))
            on_request(body_);
    }

protected:
    virtual void on_request(const std::string& body) = 0;

    http2_stream& stream() const { return *stream_; }
    bool stream_open() const { return stream_open_; }

private:
    std::shared_ptr<http2_stream> stream_;
    std::string body_;
    bool stream_open_ = true;
    bool completed_ = false;
};

class call_stream final : public request_listener,
                          public rpc_responder,
                          public std::enable_shared_from_this<call_stream> {
public:
    call_stream(std::shared_ptr<http2_stream> stream, rpc_router::call_handler handler)
        : request_listener(std::move(stream))
        , handler_(std::move(handler))
    {
    }

    void respond(const std::string& body) override
    {
        if (!stream_open())
            return;
        stream().send_headers({{":status", "200"}}, end_of_stream::no);
        stream().send_data(body, end_of_stream::yes);
    }

    void refuse() override
    {
        if (stream_open())
            stream().reset(reset_reason::refused);
    }

private:
    void on_request(const std::string& body) override { handler_(body, shared_from_this()); }

    rpc_router::call_handler handler_;
};

class subscription_stream final : public request_listener,
                                  public rpc_publisher,
                                  public std::enable_shared_from_this<subscription_stream> {
public:
    subscription_stream(std::shared_ptr<http2_stream> stream, rpc_router::subscription_handler handler)
        : request_listener(std::move(stream))
        , handler_(std::move(handler))
    {
    }

    void publish(const std::string& message) override
    {
        if (stream_open())
            stream().send_data(frame_message(message), end_of_stream::no);
    }

    void close() override
    {
        if (stream_open())
            stream().send_data({}, end_of_stream::yes);
    }

    std::size_t unsent_bytes() const override { return stream().unsent_bytes(); }
    bool is_open() const override { return stream_open(); }

private:
    void on_request(const std::string& body) override
    {
        stream().send_headers({{":status", "200"}}, end_of_stream::no);
        handler_(body, shared_from_this());
    }

    rpc_router::subscription_handler handler_;
};

} // namespace

void rpc_router::add_call(const std::string& path, call_handler handler)
{
    calls_.insert_or_assign(path, std::move(handler));
}

void rpc_router::add_subscription(const std::string& path, subscription_handler handler)
{
    subscriptions_.insert_or_assign(path, std::move(handler));
}

std::shared_ptr<http2_stream_listener> rpc_router::accept(
    const std::shared_ptr<http2_stream>& stream, const header_list& headers, end_of_stream end)
{
    const auto path = find_header(headers, ":path").value_or("");
    std::shared_ptr<request_listener> listener;
    if (const auto it = calls_.find(path); it != calls_.end())
        listener = std::make_shared<call_stream>(stream, it->second);
    else if (const auto found = subscriptions_.find(path); found != subscriptions_.end())
        listener = std::make_shared<subscription_stream>(stream, found->second);
    else if (fallback_ != nullptr)
        return fallback_->accept(stream, headers, end);
    if (!listener) {
        stream->send_headers({{":status", "404"}}, end_of_stream::yes);
        return std::make_shared<call_stream>(stream, [](const auto&, const auto&) {});
    }
    if (end == end_of_stream::yes)
        listener->complete();
    return listener;
}

} // namespace ibisdyke::transport
