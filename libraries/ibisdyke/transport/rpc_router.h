#pragma once

#include "ibisdyke/transport/http2_stream.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace ibisdyke::transport {

/// Sends the answer to a call. May be kept and used after the handler has returned. Does nothing if the call's stream
/// has ended.
class rpc_responder {
public:
    virtual ~rpc_responder() = default;

    virtual void respond(const std::string& body) = 0;

    /// Tells the caller with REFUSED_STREAM that the call was not processed and never will be.
    virtual void refuse() = 0;
};

/// The server side of a subscription.
class rpc_publisher {
public:
    virtual ~rpc_publisher() = default;

    virtual void publish(const std::string& message) = 0;

    virtual void close() = 0;

    /// Returns the number of published bytes that have not been sent yet, for example because the subscriber's
    /// flow-control window is full.
    virtual std::size_t unsent_bytes() const = 0;

    virtual bool is_open() const = 0;
};

/// Dispatches the requests of an http2_server to handlers by path. Without a fallback, requests for unknown paths are
/// answered with status 404. Streams whose body exceeds max_message_bytes are reset.
class rpc_router final : public http2_stream_acceptor {
public:
    using call_handler = std::function<void(const std::string& body, std::shared_ptr<rpc_responder> responder)>;
    using subscription_handler = std::function<void(const std::string& body, std::shared_ptr<rpc_publisher> publisher)>;

    void add_call(const std::string& path, call_handler handler);
    void add_subscription(const std::string& path, subscription_handler handler);

    /// Sets the acceptor of requests whose path has no handler here.
    void set_fallback(http2_stream_acceptor* fallback) { fallback_ = fallback; }

    std::shared_ptr<http2_stream_listener> accept(
        const std::shared_ptr<http2_stream>& stream, const header_list& headers, end_of_stream end) override;

private:
    std::map<std::string, call_handler, std::less<>> calls_;
    std::map<std::string, subscription_handler, std::less<>> subscriptions_;
    http2_stream_acceptor* fallback_ = nullptr;
};

} // namespace ibisdyke::transport
