#include "ibisdyke/frontends/requests/request_server.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/core/version.h"
#include "ibisdyke/frontends/requests/request_headers.h"
#include "ibisdyke/frontends/requests/server_request.h"
#include "ibisdyke/requests/deadline.h"
#include "ibisdyke/requests/wire/codec.h"
#include "ibisdyke/transport/clock.h"

#include <algorithm>
#include <utility>

namespace ibisdyke::frontends {

namespace {

constexpr core::milliseconds tick_interval{50};
constexpr int ticks_per_second = 20;

/// The authority that transport::rpc_client sends. Callers' requests never carry it, because a balancer sends the name
/// of a service as the authority.
constexpr std::string_view peer_authority = "ibisdyke";

std::string header_text(const transport::header_list& headers, std::string_view name)
{
    return std::string(transport::find_header(headers, name).value_or(""));
}

} // namespace

request_server::request_server(const server_settings& settings, server_parts parts,
    std::unique_ptr<admission::admission_policy> admission, QObject* parent)
    : QObject(parent)
    , settings_(settings)
    , parts_(std::move(parts))
    , admission_(std::move(admission))
    , peer_connections_(new connection_pool(settings.source_address, settings.limits, parts_.traffic, this))
    , upstream_connections_(new connection_pool(settings.source_address, settings.limits, parts_.traffic, this))
    , server_(transport::http2_server::create(settings.listen, settings.limits, *this, parts_.traffic, this))
{
    router_.add_call(
        "/requests/lookup", [this](const auto& body, const auto& responder) { answer_lookup(body, responder); });
    admission_->begin_cold_start(transport::read_clock());
    connect(&tick_timer_, &QTimer::timeout, this, &request_server::tick);
    tick_timer_.start(tick_interval);
    advance_timer_.setSingleShot(true);
    advance_timer_.setTimerType(Qt::PreciseTimer);
    connect(&advance_timer_, &QTimer::timeout, this,
        [this] { apply_admission(admission_->advance(transport::read_clock())); });
    tick();
}

request_server::~request_server()
{
    // The listeners of open streams refer to this object, so the streams are closed first.
    for (const auto& it : std::exchange(requests_, {}))
        it->abort();
    delete server_;
    delete upstream_connections_;
    delete peer_connections_;
}

void request_server::begin_cold_start()
{
    admission_->begin_cold_start(transport::read_clock());
}

void request_server::shut_down(std::function<void()> on_drained)
{
    on_drained_ = std::move(on_drained);
    shutting_down_ = true;
    lookup_linger_until_ = transport::read_clock() + settings_.lookup_linger;
    QTimer::singleShot(settings_.drain_limit, this, &request_server::report_drained);
}

admission::admission_status request_server::status() const
{
    const auto it = status_.load();
    return it ? *it : admission::admission_status{};
}

std::shared_ptr<transport::http2_stream_listener> request_server::accept(
    const std::shared_ptr<transport::http2_stream>& stream, const transport::header_list& headers,
    transport::end_of_stream end)
{
    if (transport::find_header(headers, ":authority") == peer_authority)
        return router_.accept(stream, headers, end);
    load_snapshots();
    if (const auto received_version = core::parse_version(header_text(headers, header_name::version));
        received_version && state_ && *received_version > state_->applied && parts_.on_newer_version)
        parts_.on_newer_version(*received_version);
    if (const auto reason = refusal_reason(headers)) {
        parts_.counters.add("requests_refused_" + *reason, 1);
        return refuse(stream, headers);
    }
    auto request = read_attempt(headers);
    if (!request) {
        parts_.counters.add("requests_refused_malformed", 1);
        return refuse(stream, headers);
    }
    const auto it = std::make_shared<server_request>(*this, std::move(*request), next_work_id_++, stream);
    requests_.insert(it);
    it->start(end);
    return it;
}

std::optional<std::string> request_server::refusal_reason(const transport::header_list& headers) const
{
    if (shutting_down_)
        return "stopping";
    if (!identity_ || !state_)
        return "not_announced";
    if (header_text(headers, header_name::incarnation) != std::to_string(settings_.incarnation.value()))
        return "incarnation";
    if (header_text(headers, header_name::service) != std::to_string(identity_->service.value()))
        return "service";
    if (!domain_is_in_)
        return "domain_out";
    if (identity_->draining)
        return "draining";
    return std::nullopt;
}

std::optional<attempt_request> request_server::read_attempt(const transport::header_list& headers) const
{
    attempt_request result;
    result.method = header_text(headers, ":method");
    result.path = header_text(headers, ":path");
    result.service_name = header_text(headers, ":authority");
    result.attempt = header_text(headers, header_name::attempt);
    result.key = {core::neighbour(header_text(headers, header_name::neighbour)),
        header_text(headers, header_name::idempotency_key)};
    result.key_generated = header_text(headers, header_name::key_origin) == key_origin_generated;
    result.first_sent = requests::parse_wall_time(header_text(headers, header_name::first_sent));
    result.order = read_send_order(headers).value_or(requests::send_order::unknown);
    result.headers = forwardable_fields(headers);
    const auto remaining = requests::parse_time_remaining(header_text(headers, header_name::deadline));
    if (!remaining || result.attempt.empty() || result.key.key.empty() || result.method.empty())
        return std::nullopt;
    result.time_remaining = *remaining;
    return result;
}

std::shared_ptr<transport::http2_stream_listener> request_server::refuse(
    const std::shared_ptr<transport::http2_stream>& stream, const transport::header_list& headers)
{
    auto head = create_verdict_head(core::verdict::not_run);
    head.push_back({std::string(header_name::attempt), header_text(headers, header_name::attempt)});
    if (state_)
        head.push_back({std::string(header_name::version), to_string(state_->applied)});
    stream->send_headers(head, transport::end_of_stream::yes);
    return create_discarding_listener(stream);
}

void request_server::load_snapshots()
{
    const auto identity = parts_.identity.load();
    if (identity && (!identity_ || identity_->id != identity->id || identity_->service != identity->service)) {
        records_ = std::make_unique<requests::idempotency_records>(
            identity->id, settings_.records, identity->records_complete_since);
        record_holders_ = std::make_unique<record_holders>(identity->id, identity->service);
        state_.reset();
        routes_.reset();
    }
    if (identity)
        identity_ = *identity;
    if (!identity_)
        return;
    if (auto routes = parts_.routes.load(); routes && routes != routes_) {
        record_holders_->add_routes(routes);
        routes_ = std::move(routes);
    }
    const auto state = parts_.state.load();
    if (!state || state == state_)
        return;
    record_holders_->update(*state, transport::read_wall_clock());
    state_ = state;
    const auto domain = state->configuration.domains.find(settings_.domain);
    const auto is_in =
        domain == state->configuration.domains.end() || domain->second.state == configuration::domain_state::in;
    if (is_in && !std::exchange(domain_is_in_, is_in))
        admission_->begin_cold_start(transport::read_clock());
    domain_is_in_ = is_in;
    configure_admission(*state, *identity_);
}

void request_server::configure_admission(const dissemination::system_state& state, const agent_identity& self)
{
    const auto service = state.configuration.services.find(self.service);
    if (service == state.configuration.services.end())
        return;
    const auto rules = state.configuration.profiles.find(service->second.profile);
    if (rules == state.configuration.profiles.end())
        return;
    const auto active =
        std::count_if(state.membership.upstreams.begin(), state.membership.upstreams.end(), [&self](const auto& it) {
            return it.second.service == self.service && it.second.state == membership::upstream_state::active;
        });
    admission_->configure(
        admission::create_settings(rules->second, settings_.slots, static_cast<std::uint32_t>(active)),
        transport::read_clock());
}

void request_server::offer(const std::shared_ptr<server_request>& request)
{
    offered_requests_.emplace(request->work_id(), request);
    apply_admission(
        admission_->offer({request->work_id(), request->neighbour(), request->deadline()}, transport::read_clock()));
}

void request_server::apply_admission(const admission::admission_decision& decision)
{
    for (const auto id : decision.shed) {
        const auto it = offered_requests_.find(id);
        if (it == offered_requests_.end())
            continue;
        const auto request = it->second;
        offered_requests_.erase(it);
        request->reject_as_not_run();
    }
    for (const auto id : decision.start) {
        if (const auto it = offered_requests_.find(id); it != offered_requests_.end()) {
            const auto request = it->second;
            request->run();
        } else {
            apply_admission(admission_->finish(id, admission::work_outcome::cancelled, transport::read_clock()));
        }
    }
    schedule_advance();
}

void request_server::schedule_advance()
{
    const auto next = admission_->next_event();
    if (!next) {
        advance_timer_.stop();
        return;
    }
    const auto wait = std::chrono::ceil<core::milliseconds>(*next - transport::read_clock());
    advance_timer_.start(std::max(wait, core::milliseconds(1)));
}

void request_server::answer_lookup(const std::string& body, const std::shared_ptr<transport::rpc_responder>& responder)
{
    load_snapshots();
    const auto query = requests::decode_lookup_query(body);
    if (!identity_ || identity_->service != query.service) {
        responder->refuse();
        return;
    }
    const auto result = records_->answer_peer(query, transport::read_wall_clock());
    if (result.own_claim_lost) {
        if (const auto own = claim_holders_[query.key].lock())
            own->reject_as_not_run();
    }
    if (result.answer)
        responder->respond(encode(with_own_instance(*result.answer)));
    else
        waiting_peers_[query.key].push_back(responder);
}

requests::lookup_answer request_server::with_own_instance(requests::lookup_answer it) const
{
    it.peer = {identity_->id, settings_.incarnation};
    return it;
}

void request_server::end_record(
    const requests::record_key& key, core::verdict outcome, std::optional<requests::stored_answer> answer)
{
    records_->end(key, outcome, std::move(answer));
    claim_holders_.erase(key);
    const auto report = records_->report_end(key);
    if (const auto it = waiting_peers_.find(key); it != waiting_peers_.end()) {
        const auto peers = std::move(it->second);
        waiting_peers_.erase(it);
        for (const auto& peer : peers)
            peer->respond(encode(with_own_instance(report)));
    }
    if (const auto it = waiting_requests_.find(key); it != waiting_requests_.end()) {
        const auto waiting = std::move(it->second);
        waiting_requests_.erase(it);
        for (const auto& weak : waiting) {
            if (const auto waiter = weak.lock())
                waiter->on_record_ended(report);
        }
    }
}

void request_server::remove_request(const std::shared_ptr<server_request>& request)
{
    requests_.erase(request);
}

void request_server::report_drained()
{
    if (const auto on_drained = std::exchange(on_drained_, nullptr))
        on_drained();
}

// Must not run before the linger time has passed: a GOAWAY also refuses peers' lookups, and without an answer a peer
// may be unable to decide a key.
void request_server::shut_down_connections()
{
    lookup_linger_until_.reset();
    server_->shut_down([this] { report_drained(); });
}

void request_server::tick()
{
    load_snapshots();
    const auto now = transport::read_clock();
    if (lookup_linger_until_ && requests_.empty() && now >= *lookup_linger_until_)
        shut_down_connections();
    apply_admission(admission_->advance(now));
    flows_per_second_.store(admission_->flows_per_second(now), std::memory_order_relaxed);
    status_.publish(std::make_shared<const admission::admission_status>(admission_->status(now)));
    if (++ticks_ % ticks_per_second != 0)
        return;
    const auto open = std::vector<std::shared_ptr<server_request>>(requests_.begin(), requests_.end());
    for (const auto& it : open)
        it->check_stall(settings_.stalled_reader_limit);
    peer_connections_->close_idle(now);
}

} // namespace ibisdyke::frontends
