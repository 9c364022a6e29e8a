#pragma once

#include "ibisdyke/core/ids.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/frontends/requests/attempt_stream.h"
#include "ibisdyke/frontends/requests/body_relay.h"
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

/// What a caller asks for, checked.
struct caller_request {
    std::string method;
    std::string path;
    std::string service_name;
    core::service_id service;
    core::neighbour consumer;
    std::string key;
    bool key_generated = false;
    std::optional<core::wall_time> first_sent;
    requests::send_order order = requests::send_order::unknown;
    core::milliseconds time_remaining{0};
    /// The fields that go on to the upstream.
    transport::header_list headers;
};

/// One request of a caller at the balancer, from its headers to its verdict. Owns at most one attempt at a time.
class gateway_request final : public transport::http2_stream_listener,
                              public attempt_owner,
                              public std::enable_shared_from_this<gateway_request> {
public:
    gateway_request(request_gateway& gateway, caller_request request, std::shared_ptr<transport::http2_stream> caller);

    /// Starts the first attempt and the deadline.
    void start(transport::end_of_stream end);

    void on_headers(const transport::header_list&, transport::end_of_stream) override { }
    void on_data(std::string_view bytes, transport::end_of_stream end) override;
    void on_drained() override;
    void on_closed(transport::close_reason reason) override;

    /// Resets a caller that takes nothing; called once a second.
    void check_stall(core::milliseconds limit);

    /// Gives the request up at the end of the drain limit.
    void abort();

private:
    void start_attempt();
    transport::header_list attempt_headers(const routing::chain_member& target, const std::string& id) const;
    void on_answer_head(const transport::header_list& head, transport::end_of_stream end) override;
    void on_answer_data(std::string_view bytes, transport::end_of_stream end) override;
    void on_attempt_drained() override;
    void on_attempt_ended(const requests::attempt_evidence& seen) override;
    void end_attempt(core::verdict outcome);
    void on_deadline();
    void take_step(requests::next_step step, core::verdict attempt);
    void retry(core::verdict attempt);
    void report(core::verdict outcome);
    void give_up_attempt();
    void finish();

    request_gateway& gateway_;
    caller_request request_;
    std::shared_ptr<transport::http2_stream> caller_;
    std::shared_ptr<gateway_attempt> attempt_;
    std::vector<core::upstream_id> tried_;
    requests::request_progress progress_;
    core::time_point received_at_;
    core::time_point deadline_;
    QTimer deadline_timer_;
    /// The body so far, as long as it may have to be sent again.
    std::string body_;
    std::uint64_t body_bytes_ = 0;
    bool body_ended_ = false;
    body_relay request_relay_;
    body_relay answer_relay_;
    stall_watch stall_;
    bool finished_ = false;
};

} // namespace ibisdyke::frontends
