#pragma once

#include "ibisdyke/admission/messages.h"
#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/core/verdict.h"
#include "ibisdyke/frontends/requests/attempt_stream.h"
#include "ibisdyke/frontends/requests/body_relay.h"
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

/// An attempt that a balancer sends, checked.
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
    /// The fields that go on to the upstream.
    transport::header_list headers;
};

/// One attempt at the agent, from its headers to its end.
class server_request final : public transport::http2_stream_listener,
                             public attempt_owner,
                             public std::enable_shared_from_this<server_request> {
public:
    server_request(request_server& server, attempt_request request, admission::work_id work,
        std::shared_ptr<transport::http2_stream> balancer);

    /// Looks for a record, asks peers, and asks for a slot. Whether the request needs a record depends on its method
    /// and on who chose its key.
    void start(transport::end_of_stream end);

    void on_headers(const transport::header_list&, transport::end_of_stream) override { }
    void on_data(std::string_view bytes, transport::end_of_stream end) override;
    void on_drained() override;
    void on_closed(transport::close_reason reason) override;

    /// The admission control has given the request a slot.
    void run();

    /// The request has not run and never will.
    void end_not_run();

    /// The same request, which this one waited for, has ended.
    void on_record_ended(const requests::lookup_answer& outcome);

    /// Resets a reader that takes nothing; called once a second.
    void check_stall(core::milliseconds limit);

    void abort();

    const core::neighbour& consumer() const { return request_.key.owner; }
    admission::work_id work() const { return work_; }
    core::time_point deadline() const { return deadline_; }

private:
    enum class stage : std::uint8_t {
        /// Waits for the end of the same request, here or at a peer.
        waiting,
        queued,
        running,
        ended,
    };

    bool needs_record() const;
    bool is_first_send() const;
    void begin_record();
    bool may_miss_one(core::wall_time now) const;
    const routing::chain* find_chain() const;
    requests::begin_result begin_claim(core::wall_time now);
    void gather_evidence(core::wall_time now);
    void ask_peers();
    void ask(const std::vector<core::endpoint>& peers);
    void on_peer_answer(const std::optional<requests::lookup_answer>& answer);
    void on_silence();
    void take_claim_decision(requests::claim_decision it);
    void give_up_claim();
    void claim_confirmed();
    void replay(const requests::stored_answer& answer);
    void state_verdict(core::verdict it);
    transport::header_list upstream_headers() const;
    transport::header_list answer_head(std::string status) const;
    void on_answer_head(const transport::header_list& head, transport::end_of_stream end) override;
    void on_answer_data(std::string_view bytes, transport::end_of_stream end) override;
    void on_attempt_drained() override;
    void on_attempt_ended(const requests::attempt_evidence& seen) override;
    void on_deadline();
    void capture_head(const transport::header_list& head);
    void give_up_exchange();
    void release_slot(admission::work_outcome outcome);
    void end(core::verdict outcome, std::optional<requests::stored_answer> answer);
    bool has_waiters() const;

    request_server& server_;
    attempt_request request_;
    requests::idempotence kind_;
    admission::work_id work_;
    std::shared_ptr<transport::http2_stream> balancer_;
    std::shared_ptr<attempt_stream> exchange_;
    stage stage_ = stage::waiting;
    bool claimed_ = false;
    requests::claim_evidence evidence_;
    std::vector<core::endpoint> asked_;
    std::size_t open_lookups_ = 0;
    QTimer silence_timer_;
    core::time_point received_at_;
    core::time_point started_at_;
    core::time_point deadline_;
    QTimer deadline_timer_;
    /// The part of the body that waits for a slot. Bounded by the stream's flow-control window.
    std::string held_body_;
    bool body_ended_ = false;
    bool answer_relayed_ = false;
    std::uint64_t bytes_ = 0;
    /// The answer of a request whose record will be kept.
    std::optional<requests::stored_answer> captured_;
    body_relay request_relay_;
    body_relay answer_relay_;
    stall_watch stall_;
};

} // namespace ibisdyke::frontends
