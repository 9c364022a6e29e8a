#pragma once

#include "ibisdyke/core/ids.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/frontends/requests/attempt_stream.h"
#include "ibisdyke/frontends/requests/window_updater.h"
#include "ibisdyke/requests/attempt_decision.h"
#include "ibisdyke/requests/idempotence.h"
#include "ibisdyke/requests/messages.h"
#include "ibisdyke/routing/chain.h"
#include "ibisdyke/transport/http2_stream.h"

#include <QTimer>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ibisdyke::frontends {

class gateway_attempt;
class request_gateway;

/// The validated headers of a caller's request.
struct caller_request {
    std::string method;
    std::string path;
    std::string service_name;
    core::service_id service;
    core::neighbour neighbour;
    std::string key;
    bool key_generated = false;
    std::optional<core::wall_time> first_sent;
    requests::send_order order = requests::send_order::unknown;
    core::milliseconds time_remaining{0};
    /// The header fields that are forwarded to the upstream.
    transport::header_list headers;
};

/// Handles one request of a caller at the balancer, from its headers to its answer or verdict. Has at most one attempt
/// at a time.
class gateway_request final : public transport::http2_stream_listener,
                              public attempt_owner,
                              public std::enable_shared_from_this<gateway_request> {
public:
    gateway_request(request_gateway& gateway, caller_request request, std::shared_ptr<transport::http2_stream> caller);

    /// Starts the deadline timer and the first attempt.
    void start(transport::end_of_stream end);

    void on_headers(const transport::header_list&, transport::end_of_stream) override { }
    void on_data(std::string_view bytes, transport::end_of_stream end) override;
    void on_drained() override;
    void on_closed(transport::close_reason reason) override;

    /// Resets the caller's stream if the caller has read nothing for `limit`. Must be called once a second.
    void check_stall(core::milliseconds limit);

    /// Cancels the attempt and resets the caller's stream.
    void abort();

private:
    void start_attempt();
    transport::header_list create_attempt_headers(const routing::chain_member& target, const std::string& id) const;
    void on_answer_head(const transport::header_list& head, transport::end_of_stream end) override;
    void on_answer_data(std::string_view bytes, transport::end_of_stream end) override;
    void on_attempt_drained() override;
    void on_attempt_ended(const requests::attempt_evidence& evidence) override;
    void end_attempt(core::verdict outcome);
    void on_deadline_exceeded();
    void perform_step(requests::next_step step, core::verdict attempt);
    void retry(core::verdict attempt);
    void report_verdict(core::verdict outcome);
    void cancel_attempt();
    void finish();

    request_gateway& gateway_;
    caller_request request_;
    std::shared_ptr<transport::http2_stream> caller_;
    std::shared_ptr<gateway_attempt> attempt_;
    std::vector<core::upstream_id> tried_upstreams_;
    requests::request_progress progress_;
    core::time_point received_at_;
    core::time_point deadline_;
    QTimer deadline_timer_;
    /// The body received so far, kept for retries. Empty once the body exceeds max_replay_bytes.
    std::string replay_body_;
    std::uint64_t body_bytes_ = 0;
    bool body_ended_ = false;
    /// Flow control of the request's body, from the caller to the agent.
    window_updater request_window_;
    /// Flow control of the answer's body, from the agent to the caller.
    window_updater answer_window_;
    stalled_reader_detector reader_stall_;
    bool finished_ = false;
};

} // namespace ibisdyke::frontends
