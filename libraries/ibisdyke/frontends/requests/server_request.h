#pragma once

#include "ibisdyke/admission/messages.h"
#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/core/verdict.h"
#include "ibisdyke/frontends/requests/attempt_stream.h"
#include "ibisdyke/frontends/requests/window_updater.h"
#include "ibisdyke/requests/attempt_decision.h"
#include "ibisdyke/requests/claim_decision.h"
#include "ibisdyke/requests/idempotence.h"
#include "ibisdyke/requests/idempotency_records.h"
#include "ibisdyke/requests/messages.h"
#include "ibisdyke/routing/chain.h"
#include "ibisdyke/transport/http2_stream.h"

#include <QTimer>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ibisdyke::frontends {

class request_server;

/// The validated headers of an attempt that a balancer sends.
struct attempt_request {
    std::string method;
    std::string path;
    std::string service_name;
    std::string attempt;
    requests::record_key key;
    bool key_generated = false;
    std::optional<core::wall_time> first_sent;
    requests::send_order order = requests::send_order::unknown;
    core::milliseconds time_remaining{0};
    /// The header fields that are forwarded to the upstream.
    transport::header_list headers;
};

/// Handles one attempt at the agent, from its headers to its answer or verdict.
class server_request final : public transport::http2_stream_listener,
                             public attempt_owner,
                             public std::enable_shared_from_this<server_request> {
public:
    server_request(request_server& server, attempt_request request, admission::work_id work,
        std::shared_ptr<transport::http2_stream> balancer);

    /// Starts the deadline timer. A non-idempotent request whose key the caller chose needs a record, so its key is
    /// looked up here and at the peers first; other requests go straight to the admission control.
    void start(transport::end_of_stream end);

    void on_headers(const transport::header_list&, transport::end_of_stream) override { }
    void on_data(std::string_view bytes, transport::end_of_stream end) override;
    void on_drained() override;
    void on_closed(transport::close_reason reason) override;

    /// Sends the request to the upstream. Called when the admission control has given it a slot.
    void run();

    /// Ends a request that has not run with the verdict `not_run`.
    void reject_as_not_run();

    /// Called when the request with the same key that this request waits for has ended.
    void on_record_ended(const requests::lookup_answer& outcome);

    /// Resets the balancer's stream if the balancer has read nothing for `limit`. Must be called once a second.
    void check_stall(core::milliseconds limit);

    void abort();

    const core::neighbour& neighbour() const { return request_.key.owner; }
    admission::work_id work_id() const { return work_id_; }
    core::time_point deadline() const { return deadline_; }

private:
    enum class stage : std::uint8_t {
        /// Waits for lookup answers, or for the end of a request with the same key here or at a peer.
        waiting,
        queued,
        running,
        ended,
    };

    bool needs_record() const;
    bool is_first_send() const;
    void begin_record();
    /// Returns whether the key can be decided although one member does not answer: the peers still hold every claim of
    /// the key, every member that decides the key knows this agent, and this agent is one of several candidates.
    bool tolerates_missing_member(core::wall_time now) const;
    const routing::chain* find_chain() const;
    requests::begin_result begin_claim(core::wall_time now);
    void gather_evidence(core::wall_time now);
    void look_up_at_peers();
    void send_lookups(const std::vector<core::endpoint>& peers);
    void on_peer_answer(const std::optional<requests::lookup_answer>& answer);
    void on_lookup_timeout();
    void apply_claim_decision(requests::claim_decision it);
    void reject_as_may_have_run();
    void confirm_claim_and_enqueue();
    void send_stored_answer(const requests::stored_answer& answer);
    void send_verdict(core::verdict it);
    transport::header_list create_upstream_headers() const;
    transport::header_list create_answer_head(std::string status) const;
    void on_answer_head(const transport::header_list& head, transport::end_of_stream end) override;
    void on_answer_data(std::string_view bytes, transport::end_of_stream end) override;
    void on_attempt_drained() override;
    void on_attempt_ended(const requests::attempt_evidence& evidence) override;
    void on_deadline_exceeded();
    void capture_head(const transport::header_list& head);
    void cancel_upstream_attempt();
    void release_slot(admission::work_outcome outcome);
    void end(core::verdict outcome, std::optional<requests::stored_answer> answer);
    bool has_waiting_requests() const;

    request_server& server_;
    attempt_request request_;
    requests::idempotence idempotence_;
    admission::work_id work_id_;
    std::shared_ptr<transport::http2_stream> balancer_;
    std::shared_ptr<attempt_stream> upstream_attempt_;
    stage stage_ = stage::waiting;
    bool claimed_ = false;
    requests::claim_evidence claim_evidence_;
    std::vector<core::endpoint> asked_peers_;
    std::size_t pending_lookups_ = 0;
    QTimer lookup_timer_;
    core::time_point received_at_;
    core::time_point started_at_;
    core::time_point deadline_;
    QTimer deadline_timer_;
    /// The part of the body received before the request got a slot. Bounded by the stream's flow-control window.
    std::string buffered_body_;
    bool body_ended_ = false;
    bool answer_relayed_ = false;
    /// Body bytes of the request and the answer, for usage accounting.
    std::uint64_t transferred_bytes_ = 0;
    /// The answer so far of a request with a record, unless it is too large to store.
    std::optional<requests::stored_answer> captured_answer_;
    /// Flow control of the request's body, from the balancer to the upstream.
    window_updater request_window_;
    /// Flow control of the answer's body, from the upstream to the balancer.
    window_updater answer_window_;
    stalled_reader_detector reader_stall_;
};

} // namespace ibisdyke::frontends
