#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/transport/http2_client.h"

#include <functional>
#include <string>

namespace ibisdyke::transport {

enum class rpc_status : std::uint8_t {
    /// The peer answered with HTTP status 200.
    ok,
    /// The peer has not processed the call and never will.
    not_run,
    /// The connection was lost, the timeout expired or the peer reported an error. The call may have been processed.
    failed,
};

/// The result of a call.
struct rpc_result {
    rpc_status status = rpc_status::failed;
    std::string body;

    friend bool operator==(const rpc_result&, const rpc_result&) = default;
};

/// Makes calls over an http2_client. A call is a POST request with an encoded message as its body; the response's body
/// is the answer.
class rpc_client {
public:
    using callback = std::function<void(const rpc_result&)>;

    explicit rpc_client(http2_client& connection)
        : connection_(connection)
    {
    }

    /// Calls `path`. `done` runs exactly once, on the thread of the connection, and not before this function has
    /// returned.
    void call(const std::string& path, const std::string& body, core::milliseconds timeout, callback done);

private:
    http2_client& connection_;
};

/// A call that is answered with a stream of messages, each preceded by its length (32 bits, big-endian).
class rpc_subscription {
public:
    using message_callback = std::function<void(const std::string&)>;
    using closed_callback = std::function<void()>;

    /// Opens the stream. `on_message` runs for each message. `on_closed` runs once when the stream has ended, but not
    /// after cancel().
    static std::shared_ptr<rpc_subscription> create(http2_client& connection, const std::string& path,
        const std::string& body, message_callback on_message, closed_callback on_closed);

    virtual ~rpc_subscription() = default;

    /// Resets the stream. No callback runs afterwards.
    virtual void cancel() = 0;
};

} // namespace ibisdyke::transport
