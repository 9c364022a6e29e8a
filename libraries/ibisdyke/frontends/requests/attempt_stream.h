#pragma once

#include "ibisdyke/requests/attempt_decision.h"
#include "ibisdyke/transport/http2_stream.h"

#include <memory>
#include <string_view>
#include <utility>

namespace ibisdyke::frontends {

/// Receives the answer to an attempt that was sent to the next hop.
class attempt_owner {
public:
    virtual ~attempt_owner() = default;

    /// Called for the head and the body of an answer. Not called when the next hop sends a verdict instead of an
    /// answer.
    virtual void on_answer_head(const transport::header_list& head, transport::end_of_stream end) = 0;
    virtual void on_answer_data(std::string_view bytes, transport::end_of_stream end) = 0;

    /// Called when the socket has accepted all queued bytes of the request's body.
    virtual void on_attempt_drained() = 0;

    /// Called when the attempt has ended. No other call follows for this attempt.
    virtual void on_attempt_ended(const requests::attempt_evidence& evidence) = 0;
};

/// Listens to the HTTP/2 stream of one attempt. Passes the answer to the attempt's owner and collects the evidence on
/// whether the request may have run. Without an owner it acknowledges and discards the data that still arrives.
class attempt_stream : public transport::http2_stream_listener {
public:
    explicit attempt_stream(std::weak_ptr<attempt_owner> owner);

    void attach(std::shared_ptr<transport::http2_stream> stream) { stream_ = std::move(stream); }

    const std::shared_ptr<transport::http2_stream>& stream() const { return stream_; }

    /// Stops all further calls to the owner.
    void detach() { owner_.reset(); }

    void on_headers(const transport::header_list& head, transport::end_of_stream end) final;
    void on_interim_response() final { evidence_.interim_seen = true; }
    void on_data(std::string_view bytes, transport::end_of_stream end) final;
    void on_drained() final;
    void on_closed(transport::close_reason reason) final;

private:
    /// Called with the head of the response before it is checked for a verdict. May add to the evidence.
    virtual void inspect_head(const transport::header_list&, requests::attempt_evidence&) { }

    /// Called when the stream is closed, before the owner's on_attempt_ended().
    virtual void on_stream_closed() { }

    std::weak_ptr<attempt_owner> owner_;
    std::shared_ptr<transport::http2_stream> stream_;
    requests::attempt_evidence evidence_;
};

} // namespace ibisdyke::frontends
