#pragma once

#include "ibisdyke/requests/attempt_decision.h"
#include "ibisdyke/transport/http2_stream.h"

#include <memory>
#include <string_view>
#include <utility>

namespace ibisdyke::frontends {

/// Takes the answer to an attempt at the next hop.
class attempt_owner {
public:
    virtual ~attempt_owner() = default;

    /// The head and the body of an answer; not called for a verdict that the next hop states instead.
    virtual void on_answer_head(const transport::header_list& head, transport::end_of_stream end) = 0;
    virtual void on_answer_data(std::string_view bytes, transport::end_of_stream end) = 0;

    /// The request's body has been handed to the socket.
    virtual void on_attempt_drained() = 0;

    /// The last call for an attempt.
    virtual void on_attempt_ended(const requests::attempt_evidence& seen) = 0;
};

/// The stream of one attempt: hands the answer to the attempt's owner and notes what tells whether the request may have
/// run. Outlives its owner only to drop what still arrives.
class attempt_stream : public transport::http2_stream_listener {
public:
    explicit attempt_stream(std::weak_ptr<attempt_owner> owner);

    void attach(std::shared_ptr<transport::http2_stream> stream) { stream_ = std::move(stream); }

    const std::shared_ptr<transport::http2_stream>& stream() const { return stream_; }

    /// Nothing that arrives from now on reaches the owner.
    void detach() { owner_.reset(); }

    void on_headers(const transport::header_list& head, transport::end_of_stream end) final;
    void on_interim_response() final { seen_.interim_seen = true; }
    void on_data(std::string_view bytes, transport::end_of_stream end) final;
    void on_drained() final;
    void on_closed(transport::close_reason reason) final;

private:
    /// Looks at the head of the response before it is judged.
    virtual void check_head(const transport::header_list&, requests::attempt_evidence&) { }

    /// The stream has ended; the owner has not been told yet.
    virtual void on_stream_ended() { }

    std::weak_ptr<attempt_owner> owner_;
    std::shared_ptr<transport::http2_stream> stream_;
    requests::attempt_evidence seen_;
};

} // namespace ibisdyke::frontends
