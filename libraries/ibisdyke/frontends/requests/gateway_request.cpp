#include "ibisdyke/frontends/requests/gateway_request.h"

#include "ibisdyke/core/version.h"
#include "ibisdyke/frontends/requests/request_gateway.h"
#include "ibisdyke/frontends/requests/request_headers.h"
#include "ibisdyke/requests/deadline.h"
#include "ibisdyke/transport/clock.h"

#include <QRandomGenerator>

#include <algorithm>
#include <utility>

namespace ibisdyke::frontends {

/// The stream of an attempt to an agent.
class gateway_attempt final : public attempt_stream {
public:
    gateway_attempt(
        request_gateway& gateway, std::weak_ptr<attempt_owner> owner, std::string id, const core::upstream_id& target)
        : attempt_stream(std::move(owner))
        , gateway_(gateway)
        , id_(std::move(id))
        , target_(target)
    {
        gateway_.selector_->on_started(target_);
    }

private:
    void inspect_head(const transport::header_list& head, requests::attempt_evidence& evidence) override
    {
        if (const auto version = core::parse_version(transport::find_header(head, header_name::version).value_or("")))
            gateway_.report_newer_version(*version);
        evidence.wrong_attempt_id = transport::find_header(head, header_name::attempt) != id_;
    }

    void on_stream_closed() override { gateway_.selector_->on_ended(target_); }

    request_gateway& gateway_;
    std::string id_;
    core::upstream_id target_;
};

gateway_request::gateway_request(
    request_gateway& gateway, caller_request request, std::shared_ptr<transport::http2_stream> caller)
    : gateway_(gateway)
    , request_(std::move(request))
    , caller_(std::move(caller))
    , received_at_(transport::read_clock())
    , deadline_(received_at_ + request_.time_remaining)
{
    progress_.kind = requests::classify_method(request_.method);
    request_window_.set_source(caller_);
}

void gateway_request::start(transport::end_of_stream end)
{
    body_ended_ = end == transport::end_of_stream::yes;
    deadline_timer_.setSingleShot(true);
    QObject::connect(&deadline_timer_, &QTimer::timeout, &deadline_timer_, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->on_deadline_exceeded();
    });
    deadline_timer_.start(request_.time_remaining);
    gateway_.retry_budget_of(request_.service).on_request(received_at_);
    start_attempt();
}

void gateway_request::on_data(std::string_view bytes, transport::end_of_stream end)
{
    body_bytes_ += bytes.size();
    body_ended_ = body_ended_ || end == transport::end_of_stream::yes;
    if (finished_) {
        request_window_.on_received(bytes.size(), nullptr);
        request_window_.acknowledge();
        return;
    }
    if (body_bytes_ > gateway_.settings_.max_request_bytes) {
        // Part of the body has already been sent on, so the request cannot be reported as not run.
        caller_->send_headers(
            {{":status", "413"}, {std::string(header_name::verdict), "may-have-run"}}, transport::end_of_stream::yes);
        cancel_attempt();
        finish();
        request_window_.on_received(bytes.size(), nullptr);
        request_window_.acknowledge();
        return;
    }
    if (body_bytes_ <= gateway_.settings_.max_replay_bytes) {
        replay_body_.append(bytes);
    } else {
        progress_.replayable = false;
        replay_body_.clear();
    }
    const auto sink = attempt_ ? attempt_->stream() : nullptr;
    if (sink)
        sink->send_data(bytes, end);
    request_window_.on_received(bytes.size(), sink.get());
}

void gateway_request::on_drained()
{
    answer_window_.acknowledge();
}

void gateway_request::on_closed(transport::close_reason reason)
{
    caller_.reset();
    request_window_.clear_source();
    if (finished_) {
        gateway_.remove_request(shared_from_this());
        return;
    }
    gateway_.parts_.counters.add("requests_cancelled", 1);
    progress_.cancelled = true;
    // A caller that lost its connection is expected to resend a keyed request. If the attempt keeps running, the resend
    // gets its answer; if the attempt were cancelled, the resend would get "may have run".
    const auto resend_expected = reason == transport::close_reason::connection_lost && !request_.key_generated
        && progress_.kind == requests::idempotence::not_idempotent && body_ended_;
    if (resend_expected && attempt_)
        attempt_->detach();
    else
        cancel_attempt();
    finish();
}

void gateway_request::check_stall(core::milliseconds limit)
{
    if (!caller_)
        return;
    const auto intervals = reader_stall_.observe(caller_->unsent_bytes());
    if (std::chrono::seconds(intervals) < limit)
        return;
    gateway_.parts_.counters.add("requests_reader_stalled", 1);
    abort();
}

void gateway_request::abort()
{
    const auto caller = caller_;
    cancel_attempt();
    finish();
    if (caller)
        caller->reset(transport::reset_reason::failed);
}

void gateway_request::start_attempt()
{
    const auto state = gateway_.parts_.state.load();
    const auto routes = gateway_.parts_.routes.load();
    const auto* const chain =
        routes ? routes->find_chain(request_.service, routing::bucket_of_key(request_.key)) : nullptr;
    // choose_key() has already chosen a generated key by the load of its owner.
    const auto placement = request_.key_generated
        ? requests::placement::owner_first
        : requests::choose_placement(request_.order, request_.first_sent, transport::read_wall_clock());
    const auto member_index =
        chain != nullptr ? gateway_.selector_->select({*chain, tried_upstreams_, placement}) : std::nullopt;
    if (!member_index) {
        perform_step(requests::decide_without_retry(progress_, core::verdict::not_run), core::verdict::not_run);
        return;
    }
    const auto& target = chain->members.at(*member_index);
    tried_upstreams_.push_back(target.id);
    auto id = QString::number(QRandomGenerator::global()->generate64(), 16).toStdString();
    auto headers = create_attempt_headers(target, id);
    headers.push_back({std::string(header_name::version), to_string(routes->at())});
    const auto attempt = std::make_shared<gateway_attempt>(gateway_, weak_from_this(), std::move(id), target.id);
    attempt_ = attempt;
    const auto end_after_headers =
        body_ended_ && replay_body_.empty() ? transport::end_of_stream::yes : transport::end_of_stream::no;
    auto stream = gateway_.agent_connections_->find_or_create(target.request_endpoint, transport::read_clock())
                      .open_stream(headers, end_after_headers, attempt);
    // If the connection fails at once, open_stream() has already ended the attempt.
    if (attempt_ != attempt)
        return;
    attempt->attach(stream);
    answer_window_.set_source(stream);
    if (end_after_headers == transport::end_of_stream::no && (!replay_body_.empty() || body_ended_))
        stream->send_data(replay_body_, body_ended_ ? transport::end_of_stream::yes : transport::end_of_stream::no);
    gateway_.parts_.counters.add("request_attempts", 1);
}

transport::header_list gateway_request::create_attempt_headers(
    const routing::chain_member& target, const std::string& id) const
{
    transport::header_list result{
        {":method", request_.method},
        {":scheme", "http"},
        {":authority", request_.service_name},
        {":path", request_.path},
    };
    result.insert(result.end(), request_.headers.begin(), request_.headers.end());
    const auto add = [&result](std::string_view name, std::string value) {
        result.push_back({std::string(name), std::move(value)});
    };
    const auto remaining = requests::time_remaining(deadline_, transport::read_clock());
    add(header_name::deadline, std::to_string(remaining.count()));
    add(header_name::idempotency_key, request_.key);
    if (request_.key_generated)
        add(header_name::key_origin, std::string(key_origin_generated));
    if (request_.first_sent)
        add(header_name::first_sent, std::to_string(request_.first_sent->time_since_epoch().count()));
    if (request_.order == requests::send_order::first)
        add(header_name::send_count, "1");
    add(header_name::attempt, id);
    add(header_name::incarnation, std::to_string(target.agent.value()));
    add(header_name::service, std::to_string(request_.service.value()));
    add(header_name::neighbour, request_.neighbour.value());
    return result;
}

void gateway_request::on_attempt_drained()
{
    request_window_.acknowledge();
}

void gateway_request::on_answer_head(const transport::header_list& head, transport::end_of_stream end)
{
    if (!caller_)
        return;
    progress_.answer_relayed = true;
    // The deadline limits only the wait for the head of the answer. The body may take as long as the caller keeps
    // reading.
    deadline_timer_.stop();
    transport::header_list answer{{":status", std::string(transport::find_header(head, ":status").value_or("502"))}};
    auto fields = forwardable_fields(head);
    answer.insert(answer.end(), fields.begin(), fields.end());
    answer.push_back({std::string(header_name::verdict), std::string(to_string(core::verdict::answered))});
    caller_->send_headers(answer, end);
}

void gateway_request::on_answer_data(std::string_view bytes, transport::end_of_stream end)
{
    if (!caller_)
        return;
    caller_->send_data(bytes, end);
    answer_window_.on_received(bytes.size(), caller_.get());
}

void gateway_request::on_attempt_ended(const requests::attempt_evidence& evidence)
{
    end_attempt(requests::judge_attempt(evidence));
}

void gateway_request::end_attempt(core::verdict outcome)
{
    attempt_.reset();
    answer_window_.clear_source();
    perform_step(requests::decide_next(progress_, outcome), outcome);
}

void gateway_request::on_deadline_exceeded()
{
    if (finished_)
        return;
    progress_.deadline_passed = true;
    gateway_.parts_.counters.add("requests_deadline_passed", 1);
    // If the connection to the agent is not established yet, reset() ends the attempt at once as refused, which proves
    // that the request has not run.
    if (attempt_ && attempt_->stream())
        attempt_->stream()->reset(transport::reset_reason::cancelled);
    if (finished_ || !attempt_)
        return;
    std::exchange(attempt_, nullptr)->detach();
    end_attempt(core::verdict::may_have_run);
}

void gateway_request::perform_step(requests::next_step step, core::verdict attempt)
{
    switch (step) {
    case requests::next_step::finish:
        gateway_.parts_.counters.add("requests_answered", 1);
        gateway_.parts_.counters.sample("request_latency_ms",
            std::chrono::duration<double, std::milli>(transport::read_clock() - received_at_).count());
        finish();
        return;
    case requests::next_step::retry:
        retry(attempt);
        return;
    case requests::next_step::report_not_run:
        report_verdict(core::verdict::not_run);
        return;
    case requests::next_step::report_may_have_run:
        report_verdict(core::verdict::may_have_run);
        return;
    case requests::next_step::reset_caller:
        gateway_.parts_.counters.add("requests_cut", 1);
        abort();
        return;
    case requests::next_step::drop:
        finish();
        return;
    }
}

void gateway_request::retry(core::verdict attempt)
{
    progress_.may_have_run = progress_.may_have_run || attempt == core::verdict::may_have_run;
    if (!gateway_.retry_budget_of(request_.service).take(transport::read_clock())) {
        gateway_.parts_.counters.add("request_retries_denied", 1);
        perform_step(requests::decide_without_retry(progress_, attempt), attempt);
        return;
    }
    gateway_.parts_.counters.add("request_retries", 1);
    start_attempt();
}

void gateway_request::report_verdict(core::verdict outcome)
{
    gateway_.parts_.counters.add(outcome == core::verdict::not_run ? "requests_not_run" : "requests_may_have_run", 1);
    auto head = create_verdict_head(outcome);
    if (outcome == core::verdict::not_run)
        head.push_back({"retry-after", "1"});
    caller_->send_headers(head, transport::end_of_stream::yes);
    finish();
}

void gateway_request::cancel_attempt()
{
    const auto attempt = std::exchange(attempt_, nullptr);
    if (!attempt)
        return;
    attempt->detach();
    if (const auto stream = attempt->stream())
        stream->reset(transport::reset_reason::cancelled);
}

void gateway_request::finish()
{
    if (std::exchange(finished_, true))
        return;
    deadline_timer_.stop();
    answer_window_.clear_source();
    attempt_.reset();
    // on_data() discards the rest of the request's body.
    request_window_.acknowledge();
    // The caller may not have read the last bytes yet, so check_stall() must still be called until its stream is
    // closed.
    if (!caller_)
        gateway_.remove_request(shared_from_this());
}

} // namespace ibisdyke::frontends
