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

admission::work_outcome to_outcome(const requests::attempt_evidence& evidence, core::verdict verdict)
{
    if (verdict == core::verdict::answered)
        return admission::work_outcome::answered;
    if (verdict == core::verdict::not_run)
        return admission::work_outcome::refused;
    if (evidence.ending == requests::attempt_ending::connection_lost)
        return admission::work_outcome::connection_lost;
    return admission::work_outcome::failed;
}

} // namespace

server_request::server_request(request_server& server, attempt_request request, admission::work_id work,
    std::shared_ptr<transport::http2_stream> balancer)
    : server_(server)
    , request_(std::move(request))
    , idempotence_(requests::classify_method(request_.method))
    , work_id_(work)
    , balancer_(std::move(balancer))
    , received_at_(transport::read_clock())
    , deadline_(received_at_ + request_.time_remaining)
{
    request_window_.set_source(balancer_);
}

void server_request::start(transport::end_of_stream end)
{
    body_ended_ = end == transport::end_of_stream::yes;
    deadline_timer_.setSingleShot(true);
    QObject::connect(&deadline_timer_, &QTimer::timeout, &deadline_timer_, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->on_deadline_exceeded();
    });
    deadline_timer_.start(request_.time_remaining);
    if (needs_record())
        begin_record();
    else
        confirm_claim_and_enqueue();
}

void server_request::on_data(std::string_view bytes, transport::end_of_stream end)
{
    body_ended_ = body_ended_ || end == transport::end_of_stream::yes;
    transferred_bytes_ += bytes.size();
    const auto sink = upstream_attempt_ ? upstream_attempt_->stream() : nullptr;
    if (stage_ == stage::ended || (stage_ == stage::running && !sink)) {
        request_window_.on_received(bytes.size(), nullptr);
        request_window_.acknowledge();
        return;
    }
    if (sink)
        sink->send_data(bytes, end);
    else
        buffered_body_.append(bytes);
    request_window_.on_received(bytes.size(), sink.get());
}

void server_request::on_drained()
{
    answer_window_.acknowledge();
}

void server_request::on_closed(transport::close_reason reason)
{
    balancer_.reset();
    request_window_.clear_source();
    const auto self = shared_from_this();
    if (stage_ != stage::ended) {
        // When the connection to the balancer is lost, it is unknown whether the caller still wants the answer. A
        // request that holds a claim keeps running, so that a resend through another balancer gets its answer.
        const auto resend_expected =
            claimed_ && body_ended_ && (reason == transport::close_reason::connection_lost || has_waiting_requests());
        if (resend_expected) {
            answer_window_.acknowledge();
            return;
        }
        server_.parts_.counters.add("requests_cancelled", 1);
        if (stage_ == stage::running) {
            cancel_upstream_attempt();
            release_slot(admission::work_outcome::cancelled);
            end(core::verdict::may_have_run, std::nullopt);
        } else {
            end(core::verdict::not_run, std::nullopt);
        }
    }
    server_.remove_request(self);
}

void server_request::run()
{
    if (stage_ == stage::ended)
        return;
    stage_ = stage::running;
    started_at_ = transport::read_clock();
    server_.parts_.counters.add("requests_started", 1);
    const auto attempt = std::make_shared<attempt_stream>(weak_from_this());
    upstream_attempt_ = attempt;
    const auto end_after_headers =
        body_ended_ && buffered_body_.empty() ? transport::end_of_stream::yes : transport::end_of_stream::no;
    auto stream = server_.upstream_connections_->find_or_create(server_.settings_.upstream, started_at_)
                      .open_stream(create_upstream_headers(), end_after_headers, attempt);
    // If the connection fails at once, open_stream() has already ended the attempt.
    if (upstream_attempt_ != attempt)
        return;
    attempt->attach(stream);
    answer_window_.set_source(stream);
    const auto body = std::exchange(buffered_body_, {});
    if (end_after_headers == transport::end_of_stream::no && (!body.empty() || body_ended_))
        stream->send_data(body, body_ended_ ? transport::end_of_stream::yes : transport::end_of_stream::no);
}

void server_request::reject_as_not_run()
{
    if (stage_ == stage::ended)
        return;
    server_.parts_.counters.add("requests_shed", 1);
    send_verdict(core::verdict::not_run);
    end(core::verdict::not_run, std::nullopt);
}

void server_request::on_record_ended(const requests::lookup_answer& outcome)
{
    if (stage_ == stage::ended)
        return;
    if (outcome.status == requests::lookup_status::answered && outcome.answer)
        send_stored_answer(*outcome.answer);
    else if (outcome.status == requests::lookup_status::absent)
        send_verdict(core::verdict::not_run);
    else
        send_verdict(core::verdict::may_have_run);
    end(core::verdict::not_run, std::nullopt);
}

void server_request::check_stall(core::milliseconds limit)
{
    if (!balancer_ || std::chrono::seconds(reader_stall_.observe(balancer_->unsent_bytes())) < limit)
        return;
    server_.parts_.counters.add("requests_reader_stalled", 1);
    abort();
}

void server_request::abort()
{
    const auto self = shared_from_this();
    const auto balancer = balancer_;
    if (stage_ == stage::running) {
        cancel_upstream_attempt();
        release_slot(admission::work_outcome::cancelled);
        end(core::verdict::may_have_run, std::nullopt);
    } else {
        end(core::verdict::not_run, std::nullopt);
    }
    if (balancer)
        balancer->reset(transport::reset_reason::failed);
}

void server_request::send_stored_answer(const requests::stored_answer& answer)
{
    if (!balancer_)
        return;
    auto head = create_answer_head("200");
    for (const auto& [name, value] : answer.headers) {
        if (name == ":status")
            head.front().value = value;
        else
            head.push_back({name, value});
    }
    balancer_->send_headers(head, transport::end_of_stream::no);
    balancer_->send_data(answer.body, transport::end_of_stream::yes);
}

void server_request::send_verdict(core::verdict it)
{
    if (!balancer_)
        return;
    auto head = create_verdict_head(it);
    const auto fields = create_answer_head(head.front().value);
    head.insert(head.end(), fields.begin() + 1, fields.end());
    balancer_->send_headers(head, transport::end_of_stream::yes);
}

transport::header_list server_request::create_upstream_headers() const
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

transport::header_list server_request::create_answer_head(std::string status) const
{
    return {
        {":status", std::move(status)},
        {std::string(header_name::attempt), request_.attempt},
        {std::string(header_name::version), to_string(server_.state_ ? server_.state_->applied : core::version{})},
    };
}

void server_request::on_answer_head(const transport::header_list& head, transport::end_of_stream end)
{
    server_.admission_->on_answer(work_id_, transport::read_clock());
    // The deadline limits only the wait for the head of the answer. The body may take as long as the caller keeps
    // reading.
    deadline_timer_.stop();
    capture_head(head);
    if (!balancer_)
        return;
    answer_relayed_ = true;
    auto answer = create_answer_head(std::string(transport::find_header(head, ":status").value_or("502")));
    const auto fields = forwardable_fields(head);
    answer.insert(answer.end(), fields.begin(), fields.end());
    balancer_->send_headers(answer, end);
}

void server_request::on_answer_data(std::string_view bytes, transport::end_of_stream end)
{
    transferred_bytes_ += bytes.size();
    if (captured_answer_ && captured_answer_->body.size() + bytes.size() <= server_.settings_.records.max_answer_bytes)
        captured_answer_->body.append(bytes);
    else
        captured_answer_.reset();
    if (balancer_)
        balancer_->send_data(bytes, end);
    answer_window_.on_received(bytes.size(), balancer_.get());
    if (!balancer_)
        answer_window_.acknowledge();
}

void server_request::on_attempt_drained()
{
    request_window_.acknowledge();
}

void server_request::on_attempt_ended(const requests::attempt_evidence& evidence)
{
    const auto outcome = requests::judge_attempt(evidence);
    upstream_attempt_.reset();
    answer_window_.clear_source();
    release_slot(to_outcome(evidence, outcome));
    if (outcome == core::verdict::answered) {
        server_.parts_.counters.add("requests_answered", 1);
        end(outcome, std::exchange(captured_answer_, std::nullopt));
        return;
    }
    if (answer_relayed_ && balancer_)
        balancer_->reset(transport::reset_reason::failed);
    else
        send_verdict(outcome);
    end(outcome, std::nullopt);
}

void server_request::on_deadline_exceeded()
{
    const auto self = shared_from_this();
    switch (stage_) {
    case stage::waiting:
        // A request with the same key may be running here or at a peer.
        send_verdict(core::verdict::may_have_run);
        end(core::verdict::not_run, std::nullopt);
        return;
    case stage::queued:
        reject_as_not_run();
        return;
    case stage::running:
        cancel_upstream_attempt();
        release_slot(admission::work_outcome::cancelled);
        send_verdict(core::verdict::may_have_run);
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
    captured_answer_.emplace();
    captured_answer_->headers.emplace_back(":status", transport::find_header(head, ":status").value_or("502"));
    for (const auto& it : forwardable_fields(head))
        captured_answer_->headers.emplace_back(it.name, it.value);
}

void server_request::cancel_upstream_attempt()
{
    const auto attempt = std::exchange(upstream_attempt_, nullptr);
    if (!attempt)
        return;
    attempt->detach();
    if (const auto stream = attempt->stream())
        stream->reset(transport::reset_reason::cancelled);
}

void server_request::release_slot(admission::work_outcome outcome)
{
    const auto now = transport::read_clock();
    const auto slot_time = std::chrono::ceil<core::milliseconds>(now - started_at_);
    accounting::usage_counters used;
    used.requests = 1;
    used.bytes = transferred_bytes_;
    used.slot_milliseconds = static_cast<std::uint64_t>(slot_time.count());
    server_.parts_.usage.add(request_.key.owner, request_.service_name, used);
    server_.offered_requests_.erase(work_id_);
    server_.apply_admission(server_.admission_->finish(work_id_, outcome, now));
}

void server_request::end(core::verdict outcome, std::optional<requests::stored_answer> answer)
{
    if (std::exchange(stage_, stage::ended) == stage::ended)
        return;
    const auto self = shared_from_this();
    deadline_timer_.stop();
    answer_window_.clear_source();
    buffered_body_.clear();
    // on_data() discards the rest of the request's body.
    request_window_.acknowledge();
    if (server_.offered_requests_.erase(work_id_) > 0)
        server_.apply_admission(server_.admission_->withdraw(work_id_, transport::read_clock()));
    if (std::exchange(claimed_, false))
        server_.end_record(request_.key, outcome, std::move(answer));
    if (!balancer_)
        server_.remove_request(self);
}

bool server_request::has_waiting_requests() const
{
    const auto it = server_.waiting_requests_.find(request_.key);
    return it != server_.waiting_requests_.end() && !it->second.empty();
}

} // namespace ibisdyke::frontends
