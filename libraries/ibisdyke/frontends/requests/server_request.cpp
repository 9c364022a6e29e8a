#include "ibisdyke/frontends/requests/server_request.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/frontends/requests/request_headers.h"
#include "ibisdyke/frontends/requests/request_server.h"
#include "ibisdyke/requests/deadline.h"
#include "ibisdyke/transport/clock.h"

#include <algorithm>
#include <utility>

namespace ibisdyke::frontends {

namespace {

admission::work_outcome to_outcome(const requests::attempt_evidence& seen, core::verdict verdict)
{
    if (verdict == core::verdict::answered)
        return admission::work_outcome::answered;
    if (verdict == core::verdict::not_run)
        return admission::work_outcome::refused;
    if (seen.ending == requests::attempt_ending::connection_lost)
        return admission::work_outcome::connection_lost;
    return admission::work_outcome::failed;
}

} // namespace

server_request::server_request(request_server& server, attempt_request request, admission::work_id work,
    std::shared_ptr<transport::http2_stream> balancer)
    : server_(server)
    , request_(std::move(request))
    , kind_(requests::classify_method(request_.method))
    , work_(work)
    , balancer_(std::move(balancer))
    , received_at_(transport::read_clock())
    , deadline_(received_at_ + request_.time_remaining)
{
    request_relay_.set_source(balancer_);
}

void server_request::start(transport::end_of_stream end)
{
    body_ended_ = end == transport::end_of_stream::yes;
    deadline_timer_.setSingleShot(true);
    QObject::connect(&deadline_timer_, &QTimer::timeout, &deadline_timer_, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->on_deadline();
    });
    deadline_timer_.start(request_.time_remaining);
    if (needs_record())
        begin_record();
    else
        claim_confirmed();
}

void server_request::on_data(std::string_view bytes, transport::end_of_stream end)
{
    body_ended_ = body_ended_ || end == transport::end_of_stream::yes;
    bytes_ += bytes.size();
    const auto sink = exchange_ ? exchange_->stream() : nullptr;
    if (stage_ == stage::ended || (stage_ == stage::running && !sink)) {
        request_relay_.on_received(bytes.size(), nullptr);
        request_relay_.release();
        return;
    }
    if (sink)
        sink->send_data(bytes, end);
    else
        held_body_.append(bytes);
    request_relay_.on_received(bytes.size(), sink.get());
}

void server_request::on_drained()
{
    answer_relay_.release();
}

void server_request::on_closed(transport::close_reason reason)
{
    balancer_.reset();
    request_relay_.clear();
    const auto self = shared_from_this();
    if (stage_ != stage::ended) {
        // A balancer that died cannot say whether the caller still wants the answer. A keyed request runs on, so that
        // a resend through another balancer gets its answer.
        const auto resend_expected =
            claimed_ && body_ended_ && (reason == transport::close_reason::connection_lost || has_waiters());
        if (resend_expected) {
            answer_relay_.release();
            return;
        }
        server_.parts_.counters.add("requests_cancelled", 1);
        if (stage_ == stage::running) {
            give_up_exchange();
            release_slot(admission::work_outcome::cancelled);
            end(core::verdict::may_have_run, std::nullopt);
        } else {
            end(core::verdict::not_run, std::nullopt);
        }
    }
    server_.forget(self);
}

void server_request::run()
{
    if (stage_ == stage::ended)
        return;
    stage_ = stage::running;
    started_at_ = transport::read_clock();
    server_.parts_.counters.add("requests_started", 1);
    const auto exchange = std::make_shared<attempt_stream>(weak_from_this());
    exchange_ = exchange;
    const auto whole = body_ended_ && held_body_.empty() ? transport::end_of_stream::yes : transport::end_of_stream::no;
    auto stream = server_.upstream_->find(server_.settings_.upstream, started_at_)
                      .open_stream(upstream_headers(), whole, exchange);
    // A connection that fails at once ends the exchange within open_stream().
    if (exchange_ != exchange)
        return;
    exchange->attach(stream);
    answer_relay_.set_source(stream);
    const auto body = std::exchange(held_body_, {});
    if (whole == transport::end_of_stream::no && (!body.empty() || body_ended_))
        stream->send_data(body, body_ended_ ? transport::end_of_stream::yes : transport::end_of_stream::no);
}

void server_request::end_not_run()
{
    if (stage_ == stage::ended)
        return;
    server_.parts_.counters.add("requests_shed", 1);
    state_verdict(core::verdict::not_run);
    end(core::verdict::not_run, std::nullopt);
}

void server_request::on_record_ended(const requests::lookup_answer& outcome)
{
    if (stage_ == stage::ended)
        return;
    if (outcome.status == requests::lookup_status::answered && outcome.answer)
        replay(*outcome.answer);
    else if (outcome.status == requests::lookup_status::absent)
        state_verdict(core::verdict::not_run);
    else
        state_verdict(core::verdict::may_have_run);
    end(core::verdict::not_run, std::nullopt);
}

void server_request::check_stall(core::milliseconds limit)
{
    if (!balancer_ || std::chrono::seconds(stall_.observe(balancer_->unsent_bytes())) < limit)
        return;
    server_.parts_.counters.add("requests_reader_stalled", 1);
    abort();
}

void server_request::abort()
{
    const auto self = shared_from_this();
    const auto balancer = balancer_;
    if (stage_ == stage::running) {
        give_up_exchange();
        release_slot(admission::work_outcome::cancelled);
        end(core::verdict::may_have_run, std::nullopt);
    } else {
        end(core::verdict::not_run, std::nullopt);
    }
    if (balancer)
        balancer->reset(transport::reset_reason::failed);
}

void server_request::replay(const requests::stored_answer& answer)
{
    if (!balancer_)
        return;
    auto head = answer_head("200");
    for (const auto& [name, value] : answer.headers) {
        if (name == ":status")
            head.front().value = value;
        else
            head.push_back({name, value});
    }
    balancer_->send_headers(head, transport::end_of_stream::no);
    balancer_->send_data(answer.body, transport::end_of_stream::yes);
}

void server_request::state_verdict(core::verdict it)
{
    if (!balancer_)
        return;
    auto head = create_verdict_head(it);
    const auto fields = answer_head(head.front().value);
    head.insert(head.end(), fields.begin() + 1, fields.end());
    balancer_->send_headers(head, transport::end_of_stream::yes);
}

transport::header_list server_request::upstream_headers() const
{
    transport::header_list result{
        {":method", request_.method},
        {":scheme", "http"},
        {":authority", request_.service_name},
        {":path", request_.path},
    };
    result.insert(result.end(), request_.headers.begin(), request_.headers.end());
    const auto remaining = requests::time_remaining(deadline_, transport::read_clock());
    result.push_back({std::string(header_name::deadline), std::to_string(remaining.count())});
    result.push_back({std::string(header_name::idempotency_key), request_.key.key});
    return result;
}

transport::header_list server_request::answer_head(std::string status) const
{
    return {
        {":status", std::move(status)},
        {std::string(header_name::attempt), request_.attempt},
        {std::string(header_name::version),
            to_string(server_.seen_state_ ? server_.seen_state_->applied : core::version{})},
    };
}

void server_request::on_answer_head(const transport::header_list& head, transport::end_of_stream end)
{
    server_.admission_->on_answer(work_, transport::read_clock());
    // The deadline bounds the wait for an answer. Its body takes as long as the caller keeps reading.
    deadline_timer_.stop();
    capture_head(head);
    if (!balancer_)
        return;
    answer_relayed_ = true;
    auto answer = answer_head(std::string(transport::find_header(head, ":status").value_or("502")));
    const auto fields = forwardable(head);
    answer.insert(answer.end(), fields.begin(), fields.end());
    balancer_->send_headers(answer, end);
}

void server_request::on_answer_data(std::string_view bytes, transport::end_of_stream end)
{
    bytes_ += bytes.size();
    if (captured_ && captured_->body.size() + bytes.size() <= server_.settings_.records.max_answer_bytes)
        captured_->body.append(bytes);
    else
        captured_.reset();
    if (balancer_)
        balancer_->send_data(bytes, end);
    answer_relay_.on_received(bytes.size(), balancer_.get());
    if (!balancer_)
        answer_relay_.release();
}

void server_request::on_attempt_drained()
{
    request_relay_.release();
}

void server_request::on_attempt_ended(const requests::attempt_evidence& seen)
{
    const auto outcome = requests::judge_attempt(seen);
    exchange_.reset();
    answer_relay_.clear();
    release_slot(to_outcome(seen, outcome));
    if (outcome == core::verdict::answered) {
        server_.parts_.counters.add("requests_answered", 1);
        end(outcome, std::exchange(captured_, std::nullopt));
        return;
    }
    if (answer_relayed_ && balancer_)
        balancer_->reset(transport::reset_reason::failed);
    else
        state_verdict(outcome);
    end(outcome, std::nullopt);
}

void server_request::on_deadline()
{
    const auto self = shared_from_this();
    switch (stage_) {
    case stage::waiting:
        // The same request may be running here or at a peer.
        state_verdict(core::verdict::may_have_run);
        end(core::verdict::not_run, std::nullopt);
        return;
    case stage::queued:
        end_not_run();
        return;
    case stage::running:
        give_up_exchange();
        release_slot(admission::work_outcome::cancelled);
        state_verdict(core::verdict::may_have_run);
        end(core::verdict::may_have_run, std::nullopt);
        return;
    case stage::ended:
        return;
    }
}

void server_request::capture_head(const transport::header_list& head)
{
    if (!claimed_)
        return;
    captured_.emplace();
    captured_->headers.emplace_back(":status", transport::find_header(head, ":status").value_or("502"));
    for (const auto& it : forwardable(head))
        captured_->headers.emplace_back(it.name, it.value);
}

void server_request::give_up_exchange()
{
    const auto exchange = std::exchange(exchange_, nullptr);
    if (!exchange)
        return;
    exchange->detach();
    if (const auto stream = exchange->stream())
        stream->reset(transport::reset_reason::cancelled);
}

void server_request::release_slot(admission::work_outcome outcome)
{
    const auto now = transport::read_clock();
    const auto held = std::chrono::ceil<core::milliseconds>(now - started_at_);
    accounting::usage_counters used;
    used.requests = 1;
    used.bytes = bytes_;
    used.slot_milliseconds = static_cast<std::uint64_t>(held.count());
    server_.parts_.usage.add(request_.key.owner, request_.service_name, used);
    server_.admitted_.erase(work_);
    server_.apply(server_.admission_->finish(work_, outcome, now));
}

void server_request::end(core::verdict outcome, std::optional<requests::stored_answer> answer)
{
    if (std::exchange(stage_, stage::ended) == stage::ended)
        return;
    const auto self = shared_from_this();
    deadline_timer_.stop();
    answer_relay_.clear();
    held_body_.clear();
    // What is left of the request's body is dropped in on_data().
    request_relay_.release();
    if (server_.admitted_.erase(work_) > 0)
        server_.apply(server_.admission_->withdraw(work_, transport::read_clock()));
    if (std::exchange(claimed_, false))
        server_.end_record(request_.key, outcome, std::move(answer));
    if (!balancer_)
        server_.forget(self);
}

bool server_request::has_waiters() const
{
    const auto it = server_.waiters_.find(request_.key);
    return it != server_.waiters_.end() && !it->second.empty();
}

} // namespace ibisdyke::frontends
