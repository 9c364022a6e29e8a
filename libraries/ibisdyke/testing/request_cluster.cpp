#include "ibisdyke/testing/request_cluster.h"

#include "ibisdyke/configuration/token_digest.h"
#include "ibisdyke/requests/attempt_selector.h"
#include "ibisdyke/testing/event_loop.h"
#include "ibisdyke/transport/clock.h"

#include <algorithm>
#include <utility>

namespace ibisdyke::testing {

namespace {

const core::service_id service{1};

core::endpoint any_loopback_port()
{
    return core::endpoint::create("127.0.0.1:0");
}

} // namespace

configuration::token create_token(const std::string& text, const std::string& owner)
{
    return {configuration::token_digest(text), core::neighbour(owner), configuration::role::caller};
}

void upstream_call::on_data(std::string_view bytes, transport::end_of_stream end)
{
    body_.append(bytes);
    if (stream_)
        stream_->acknowledge(bytes.size());
    if (end != transport::end_of_stream::yes || ended_)
        return;
    ended_ = true;
    on_request_end_(*this);
}

void upstream_call::on_drained()
{
    constexpr std::size_t part_bytes = 65'536;
    if (remaining_bytes_ == 0 || !stream_)
        return;
    const auto n = std::min(part_bytes, remaining_bytes_);
    remaining_bytes_ -= n;
    const auto end = remaining_bytes_ == 0 ? transport::end_of_stream::yes : transport::end_of_stream::no;
    stream_->send_data(std::string(n, 'd'), end);
}

void upstream_call::on_closed(transport::close_reason reason)
{
    closed_ = reason;
    stream_.reset();
}

std::string upstream_call::header(std::string_view name) const
{
    return std::string(transport::find_header(headers_, name).value_or(""));
}

void upstream_call::answer(const std::string& body)
{
    if (!stream_)
        return;
    stream_->send_headers({{":status", "200"}, {"content-type", "text/plain"}}, transport::end_of_stream::no);
    stream_->send_data(body, transport::end_of_stream::yes);
}

void upstream_call::answer_in_parts(std::size_t n)
{
    remaining_bytes_ = n;
    stream_->send_headers({{":status", "200"}, {"content-type", "text/plain"}}, transport::end_of_stream::no);
    on_drained();
}

fake_upstream::fake_upstream(QObject* parent)
    : parent_(parent)
    , server_(transport::http2_server::create(any_loopback_port(), {}, *this, nullptr, parent))
{
}

std::shared_ptr<transport::http2_stream_listener> fake_upstream::accept(
    const std::shared_ptr<transport::http2_stream>& stream, const transport::header_list& headers,
    transport::end_of_stream end)
{
    const auto call = std::make_shared<upstream_call>();
    call->headers_ = headers;
    call->stream_ = stream;
    call->on_request_end_ = [this](upstream_call& it) { on_request_(it); };
    if (on_accept_ && !on_accept_(*call))
        return nullptr;
    if (keep_calls_)
        calls_.push_back(call);
    peak_running_ = std::max(peak_running_, running());
    if (end == transport::end_of_stream::yes) {
        call->ended_ = true;
        on_request_(*call);
    }
    return call;
}

std::size_t fake_upstream::running() const
{
    return static_cast<std::size_t>(
        std::count_if(calls_.begin(), calls_.end(), [](const auto& it) { return !it->closed_; }));
}

void fake_upstream::kill()
{
    delete std::exchange(server_, nullptr);
}

void caller_answer::on_headers(const transport::header_list& headers, transport::end_of_stream end)
{
    headers_ = headers;
    ended_ = end == transport::end_of_stream::yes;
}

void caller_answer::on_data(std::string_view bytes, transport::end_of_stream end)
{
    body_bytes_ += bytes.size();
    if (keep_body_)
        body_.append(bytes);
    ended_ = ended_ || end == transport::end_of_stream::yes;
    if (stream_ && (!read_limit_ || body_bytes_ <= *read_limit_))
        stream_->acknowledge(bytes.size());
}

void caller_answer::on_closed(transport::close_reason reason)
{
    closed_ = reason;
    stream_.reset();
    if (on_closed_)
        on_closed_();
}

std::string caller_answer::header(std::string_view name) const
{
    return std::string(transport::find_header(headers_, name).value_or(""));
}

test_agent::test_agent(std::uint64_t id, std::uint32_t slots,
    const core::snapshot_publisher<dissemination::system_state>& state,
    const core::snapshot_publisher<routing::routing_table>& routes, QObject* parent)
    : id_(id)
    , slots_(slots)
    , parent_(parent)
    , state_(state)
    , routes_(routes)
    , upstream_(parent)
{
    settings_.listen = any_loopback_port();
    settings_.upstream = upstream_.server_->address();
    settings_.incarnation = core::incarnation(id * 100);
    settings_.domain = domain_;
    settings_.slots = slots;
    // Shorter than the default, so that tests of other functions do not wait for it.
    settings_.lookup_linger = std::chrono::milliseconds(300);
    identity_.publish(std::make_shared<const frontends::agent_identity>(
        frontends::agent_identity{core::upstream_id(id), service, std::nullopt, false}));
    restart();
}

void test_agent::restart()
{
    const auto first = usage_ == nullptr;
    if (!first) {
        settings_.incarnation = core::incarnation(settings_.incarnation.value() + 1);
        const auto now = transport::read_wall_clock();
        identity_.publish(std::make_shared<const frontends::agent_identity>(
            frontends::agent_identity{core::upstream_id(id_), service, now, false}));
    }
    server_.reset();
    usage_ = std::make_unique<frontends::usage_meter>(settings_.incarnation);
    admission::admission_settings rules;
    rules.slots = slots_;
    server_ = std::make_unique<frontends::request_server>(settings_,
        frontends::server_parts{state_, routes_, identity_, *usage_, counters_, nullptr, {}},
        admission::share_admission::create(rules), nullptr);
    settings_.listen = server_->address();
}

void test_agent::make_established()
{
    const auto start = transport::read_wall_clock() - std::chrono::hours(1);
    identity_.publish(std::make_shared<const frontends::agent_identity>(
        frontends::agent_identity{core::upstream_id(id_), service, start, false}));
}

void test_agent::kill()
{
    server_.reset();
}

membership::upstream test_agent::record() const
{
    membership::upstream it;
    it.id = core::upstream_id(id_);
    it.service = service;
    it.name = "host-" + std::to_string(id_);
    it.domain = domain_;
    it.request_endpoint = advertised_endpoint_.value_or(settings_.listen);
    it.agent = settings_.incarnation;
    it.slots = slots_;
    it.state = recorded_state_;
    return it;
}

request_cluster::request_cluster(std::size_t agents, std::uint32_t slots)
{
    profile_.name = "default";
    // Disables the limits of a cold start, so that tests of other functions do not wait for its end.
    profile_.cold_start_share = 1;
    profile_.queue_age_limit = std::chrono::seconds(2);
    for (std::size_t i = 0; i < agents; ++i)
        agents_.push_back(std::make_unique<test_agent>(i + 1, slots, state_, routes_, &application_));
    publish();
    add_gateway({.listen = any_loopback_port()});
}

request_cluster::~request_cluster()
{
    callers_.clear();
    gateways_.clear();
    agents_.clear();
}

void request_cluster::publish()
{
    ++version_;
    auto state = std::make_shared<dissemination::system_state>();
    state->applied = {1, version_};
    state->configuration.profiles.emplace(profile_.name, profile_);
    state->configuration.services.emplace(service, configuration::service{service, "dossier-store", profile_.name, {}});
    for (const auto& it : {create_token("token-a", "riechwerk"), create_token("token-b", "moto-salama")})
        state->configuration.tokens.emplace(it.digest, it);
    state->configuration.domains = domains_;
    routing::service_members members{service, "dossier-store", {}, {}};
    for (const auto& agent : agents_) {
        const auto it = agent->record();
        state->membership.upstreams.emplace(it.id, it);
        routing::member member;
        member.target = {it.id, it.packet_endpoint, it.request_endpoint, it.agent};
        const auto domain = domains_.find(it.domain);
        const auto in = domain == domains_.end() || domain->second.state == configuration::domain_state::in;
        member.eligible = in && it.state == membership::upstream_state::active;
        members.members.push_back(member);
    }
    routes_.publish(routing::routing_table::create(state->applied, {members}, nullptr));
    state_.publish(std::move(state));
}

frontends::request_gateway& request_cluster::add_gateway(const frontends::gateway_settings& settings)
{
    gateways_.push_back(std::make_unique<frontends::request_gateway>(settings,
        frontends::gateway_parts{state_, routes_, counters_, nullptr, {}},
        std::make_unique<requests::chain_order_selector>(), nullptr));
    callers_.push_back(std::make_unique<transport::http2_client>(
        gateways_.back()->address(), 0, transport::http2_limits{}, nullptr, nullptr));
    return *gateways_.back();
}

std::shared_ptr<caller_answer> request_cluster::send(const caller_options& options, std::size_t gateway)
{
    auto answer = std::make_shared<caller_answer>();
    answer->read_limit_ = options.read_limit;
    transport::header_list headers{
        {":method", options.method}, {":scheme", "http"}, {":authority", options.service}, {":path", options.path}};
    if (!options.token.empty())
        headers.push_back({"authorization", "Bearer " + options.token});
    headers.insert(headers.end(), options.headers.begin(), options.headers.end());
    const auto end_after_headers = options.body.empty() ? options.end : transport::end_of_stream::no;
    answer->stream_ = callers_.at(gateway)->open_stream(headers, end_after_headers, answer);
    if (!options.body.empty())
        answer->stream_->send_data(options.body, options.end);
    return answer;
}

std::string request_cluster::key_owned_by(std::size_t agent, std::size_t skipped) const
{
    const auto routes = routes_.load();
    for (int i = 0;; ++i) {
        auto key = "key-" + std::to_string(i);
        const auto* const chain = routes->find_chain(service, routing::bucket_of_key(key));
        if (chain->members.front().id == core::upstream_id(agents_.at(agent)->id_) && skipped-- == 0)
            return key;
    }
}

std::size_t request_cluster::total_calls() const
{
    std::size_t n = 0;
    for (const auto& it : agents_)
        n += it->upstream_.calls_.size();
    return n;
}

void request_cluster::run_for(int ms)
{
    QElapsedTimer timer;
    timer.start();
    while (timer.elapsed() < ms)
        testing::run_event_loop(std::chrono::milliseconds(5));
}

std::string wall_clock_text(core::milliseconds offset)
{
    const auto now = transport::read_wall_clock();
    return std::to_string((now + offset).time_since_epoch().count());
}

} // namespace ibisdyke::testing
