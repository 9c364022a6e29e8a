#include "agent_process.h"

#include "ibisdyke/admission/share_admission.h"
#include "ibisdyke/frontends/discovery/control_settings.h"
#include "ibisdyke/frontends/discovery/routing_input.h"
#include "ibisdyke/frontends/packets/flow_report.h"
#include "ibisdyke/frontends/requests/admission_reporter.h"
#include "ibisdyke/membership/agent_restart.h"
#include "ibisdyke/observability/log.h"
#include "ibisdyke/routing/routing_table.h"
#include "ibisdyke/transport/clock.h"
#include "ibisdyke/transport/udp_socket.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace ibisdyke::agent {

namespace {

constexpr std::uint64_t max_slots = 100'000;
/// Bounds the flow table to about 2 GB.
constexpr std::uint64_t max_flows = 16'777'216;
constexpr core::milliseconds max_drain_limit{86'400'000};
constexpr core::milliseconds max_recovery_window{3'600'000};
/// Interval at which the admission limits for the packet thread are updated and its usage is counted.
constexpr core::milliseconds tick_period{100};
/// The burst of new flows that is allowed during a cold start, as a share of the new flows allowed per second.
constexpr double cold_start_burst_share = 0.1;
constexpr auto adaptive_pace = "adaptive";

/// Returns the endpoint at which other processes reach `listen-<what>`, or an empty endpoint when the process does not
/// listen there.
core::endpoint advertised_endpoint(const settings::setting_values& values, const std::string& what)
{
    if (values.is_empty("listen-" + what))
        return {};
    const auto flag = "advertise-" + what;
    return values.endpoint(values.is_empty(flag) ? "listen-" + what : flag);
}

const configuration::service* find_service(const dissemination::system_state& state, const std::string& name)
{
    const auto& services = state.configuration.services;
    const auto it = std::find_if(
        services.begin(), services.end(), [&name](const auto& entry) { return entry.second.name == name; });
    return it == services.end() ? nullptr : &it->second;
}

} // namespace

void agent_process::declare_settings(settings::settings_parser& parser)
{
    using settings::presence;
    frontends::process_runtime::declare_settings(parser);
    parser.add_text("service", "Service of the upstream", "", presence::required);
    parser.add_number("slots", "Number of requests that the upstream serves concurrently", 1, 1, max_slots);
    parser.add_number("max-flows", "Maximum entries of the flow table, including forwarded flows",
        routing::flow_limits{}.max_entries, 1, max_flows);
    frontends::declare_peer_port(parser);
    parser.add_endpoints("control", "Peer endpoints of the control processes", presence::required);
    parser.add_endpoints(
        "peers", "Peer endpoints of balancers to subscribe to when no control process answers", presence::optional);
    parser.add_endpoint("listen-packets", "Address for packets from balancers (UDP)", "", presence::required);
    parser.add_endpoint(
        "advertise-packets", "Address at which other processes reach listen-packets", "", presence::optional);
    parser.add_endpoint("listen-requests",
        "Address for requests from balancers (HTTP/2); if empty, the agent accepts none", "", presence::optional);
    parser.add_endpoint(
        "advertise-requests", "Address at which other processes reach listen-requests", "", presence::optional);
    parser.add_endpoint(
        "upstream-packets", "Address at which the upstream receives IP packets (UDP)", "", presence::required);
    parser.add_endpoint(
        "upstream-requests", "Address at which the upstream accepts requests (HTTP/2)", "", presence::optional);
    parser.add_endpoint("listen-upstream-packets",
        "Address for the packets that the upstream sends (UDP), if the front end routes them through the agent", "",
        presence::optional);
    parser.add_endpoint("listen-announcements",
        "Address for the upstream's announcements, if the front end has them; without it the upstream counts as "
        "present while its agent runs",
        "", presence::optional);
    parser.add_endpoint(
        "listen-health", "Address for the health check, if the front end has one", "", presence::optional);
    parser.add_duration("announcement-ms", "Time between announcements of the upstream", core::milliseconds(1000),
        core::milliseconds(10), core::milliseconds(60'000));
    parser.add_duration("flow-idle-ms", "Idle time after which an open flow is removed from the flow table",
        routing::flow_limits{}.tcp_idle, core::milliseconds(1000), core::milliseconds(86'400'000));
    parser.add_endpoint(
        "return-packets", "Address to which packets for callers are sent (UDP)", "", presence::required);
    parser.add_duration("drain-limit-ms", "Maximum time to wait for open flows and requests during a graceful shutdown",
        core::milliseconds(30'000), core::milliseconds(0), max_drain_limit);
    parser.add_duration("recovery-ms", "Time after a restart during which flows of the previous process are adopted",
        core::milliseconds(60'000), core::milliseconds(0), max_recovery_window);
    parser.add_choice("start-pace",
        "Pace of new flows after a start of the upstream: adaptive follows the upstream's responses where it is known "
        "to "
        "start slowly; unlimited",
        {adaptive_pace, "unlimited"});
}

agent_process::agent_process(
    frontends::process_runtime& runtime, const settings::settings_source& source, const frontends::front_end& front_end)
    : runtime_(runtime)
    , service_(source.initial().text("service"))
    , packet_endpoint_(advertised_endpoint(source.initial(), "packets"))
    , request_endpoint_(advertised_endpoint(source.initial(), "requests"))
    , slots_(static_cast<std::uint32_t>(source.initial().number("slots")))
    , drain_limit_(source.initial().duration("drain-limit-ms"))
    , recovery_window_(source.initial().duration("recovery-ms"))
    , adapts_start_pace_(source.initial().text("start-pace") == adaptive_pace)
    , started_at_(transport::read_clock())
    , started_at_wall_time_(transport::read_wall_clock())
    , usage_(runtime.identity().incarnation)
{
    const auto& values = source.initial();
    create_control_connections(values);
    create_packet_thread(values, front_end);
    create_announcement_server(values, front_end);
    create_health_server(values, front_end);
    if (!values.is_empty("listen-requests"))
        create_request_thread(values);
    runtime_.watch_settings(source, [this](const settings::setting_values& next) {
        control_endpoints_->set_configured(frontends::peer_endpoints(next, "control"));
    });
}

void agent_process::create_control_connections(const settings::setting_values& values)
{
    auto* const meter = &runtime_.control_traffic();
    const auto& identity = runtime_.identity();
    subscriber_ = std::make_unique<frontends::state_subscriber>(
        frontends::subscriber_settings{identity.name, frontends::peer_endpoints(values, "control"),
            values.endpoints("peers"), std::nullopt, identity.source_address, {}},
        runtime_.counters(), meter, nullptr);
    frontends::add_state_gauges(runtime_.counters(), *subscriber_);
    subscriber_->on_state([this](const auto& state) { on_state(state); });
    heartbeats_ = std::make_unique<frontends::heartbeat_sender>(
        frontends::peer_endpoints(values, "control"), identity.source_address, runtime_.counters(), meter,
        [this] { return make_heartbeat(); }, [this](const auto& answer) { on_heartbeat_answer(answer); }, nullptr);
    control_endpoints_ = std::make_unique<frontends::control_endpoints>(
        frontends::peer_endpoints(values, "control"), *heartbeats_, *subscriber_);
}

void agent_process::create_announcement_server(
    const settings::setting_values& values, const frontends::front_end& front_end)
{
    if (values.is_empty("listen-announcements"))
        return;
    presence_.emplace(service_, values.endpoint("upstream-packets"), values.duration("announcement-ms"));
    announcement_server_ = std::make_unique<QHttpServer>();
    front_end.serve_announcements(*announcement_server_, *this);
    frontends::listen(*announcement_server_, values.endpoint("listen-announcements"));
}

void agent_process::create_health_server(const settings::setting_values& values, const frontends::front_end& front_end)
{
    if (values.is_empty("listen-health"))
        return;
    health_server_ = std::make_unique<QHttpServer>();
    front_end.serve_health(*health_server_, frontends::logged([this] { return check_health(); }));
    frontends::listen(*health_server_, values.endpoint("listen-health"));
}

void agent_process::create_packet_thread(const settings::setting_values& values, const frontends::front_end& front_end)
{
    frontends::packet_receiver_settings settings;
    settings.upstream = values.endpoint("upstream-packets");
    settings.limits.max_entries = values.number("max-flows");
    settings.limits.tcp_idle = values.duration("flow-idle-ms");
    frontends::packet_receiver::sockets sockets;
    sockets.peers =
        transport::udp_socket::create(values.endpoint("listen-packets"), transport::address_sharing::exclusive);
    frontends::packet_receiver::formats formats{front_end.callers(values.endpoint("return-packets")), nullptr};
    if (!values.is_empty("listen-upstream-packets")) {
        sockets.upstream = transport::udp_socket::create(
            values.endpoint("listen-upstream-packets"), transport::address_sharing::exclusive);
        formats.upstream = front_end.upstreams();
    }
    upstream_returns_packets_ = formats.upstream != nullptr;
    receiver_ = std::make_unique<frontends::packet_receiver>(settings, std::move(sockets), std::move(formats),
        agent_snapshots_, runtime_.counters(), *runtime_.parent(),
        [this](const core::version& latest, const core::endpoint&) { refresh(latest); });
}

void agent_process::create_request_thread(const settings::setting_values& values)
{
    request_thread_ = std::make_unique<frontends::request_thread>("requests");
    const frontends::server_settings settings{.listen = values.endpoint("listen-requests"),
        .upstream = values.endpoint("upstream-requests"),
        .incarnation = runtime_.identity().incarnation,
        .domain = runtime_.identity().domain,
        .slots = slots_,
        .source_address = runtime_.identity().source_address,
        .drain_limit = drain_limit_};
    const auto on_newer_version = [this](const core::version& seen) {
        QMetaObject::invokeMethod(
            runtime_.parent(), [this, seen] { refresh(seen); }, Qt::QueuedConnection);
    };
    request_thread_->run([&] {
        requests_ = new frontends::request_server(settings,
            {states_, routes_, identities_, usage_, runtime_.counters(), nullptr, on_newer_version},
            admission::share_admission::create({.slots = slots_}), request_thread_->parent());
    });
}

frontends::exit_code agent_process::run()
{
    runtime_.counters().add_gauge("open_flows", [this] { return static_cast<double>(receiver_->view().active_flows); });
    runtime_.counters().add_gauge("accepts_flows",
        [this] { return agent_snapshots_.load() && agent_snapshots_.load()->admission.accepts_new_flows ? 1 : 0; });
    receiver_->start();
    subscriber_->start();
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { on_tick(); });
    timer_.start(tick_period);
    std::vector<const observability::state_reporter*> reporters{subscriber_.get(), receiver_.get()};
    std::optional<frontends::admission_reporter> admission;
    if (requests_ != nullptr)
        reporters.push_back(&admission.emplace(*requests_));
    return runtime_.run(
        std::move(reporters), [this] { return check_health(); }, [this] { stop(); });
}

frontends::health agent_process::check_health() const
{
    if (stop_deadline_)
        return {false, "draining"};
    if (is_domain_out())
        return {false, "failure domain is out of service"};
    return {id_.has_value(), id_ ? "" : "not announced yet"};
}

void agent_process::on_state(const dissemination::system_state_snapshot& state)
{
    routes_.publish(routing::routing_table::create(state->applied, frontends::routing_input(*state), routes_.load(),
        frontends::flow_routes(state->configuration)));
    states_.publish(state);
    control_endpoints_->set_members(state->membership);
    if (!first_state_version_)
        first_state_version_ = state->applied;
    find_own_id();
    read_own_record();
    start_heartbeats();
    if (std::exchange(heartbeat_refused_, false))
        heartbeats_->send_now();
    const auto domain = domain_state();
    const auto before = std::exchange(last_domain_state_, domain);
    if (before != configuration::domain_state::in && domain == configuration::domain_state::in)
        domain_reopened_at_ = transport::read_clock();
    if (requests_ != nullptr && before == configuration::domain_state::out && !is_domain_out())
        request_thread_->post([this] { requests_->begin_cold_start(); });
    publish_identity();
    publish_agent_snapshot();
}

void agent_process::on_heartbeat_answer(const membership::heartbeat_answer& answer)
{
    refresh(answer.latest);
    heartbeat_refused_ = answer.result == membership::heartbeat_result::name_taken;
    if (answer.result != membership::heartbeat_result::accepted)
        return;
    mean_open_flows_ = answer.mean_open_flows;
    if (answer.upstream && answer.upstream != id_)
        set_own_id(*answer.upstream);
    publish_agent_snapshot();
}

/// Looks up the id of the upstream in the system state. Balancers may use the record there before a heartbeat answer
/// contains the id. Two live processes cannot have the same packet endpoint, so the record belongs to this agent or to
/// an earlier process that it replaces.
void agent_process::find_own_id()
{
    const auto state = states_.load();
    const auto* const service = find_service(*state, service_);
    for (const auto& [id, it] : state->membership.upstreams) {
        const bool is_own = service != nullptr && it.service == service->id && it.packet_endpoint == packet_endpoint_
            && it.name == runtime_.identity().name;
        if (is_own && it.state != membership::upstream_state::gone && (id != id_ || !id_confirmed_))
            set_own_id(id);
    }
}

bool agent_process::is_draining() const
{
    const auto* const self = find_own_upstream();
    return stop_deadline_.has_value() || (self != nullptr && self->state == membership::upstream_state::draining);
}

configuration::domain_state agent_process::domain_state() const
{
    const auto state = states_.load();
    if (!state)
        return configuration::domain_state::in;
    const auto it = state->configuration.domains.find(runtime_.identity().domain);
    return it == state->configuration.domains.end() ? configuration::domain_state::in : it->second.state;
}

/// Returns whether the upstream is or may be in a cold start. When its failure domain accepts new flows again, the
/// upstream may be in a cold start until its next announcement shows otherwise.
bool agent_process::is_cold(core::time_point now) const
{
    return now < presence_->cold_until()
        || (domain_reopened_at_ && presence_->last_announcement_at() < *domain_reopened_at_);
}

routing::flow_admission_limits agent_process::make_admission(core::time_point now) const
{
    routing::flow_admission_limits result;
    const auto* const self = find_own_upstream();
    result.accepts_new_flows = !is_draining() && is_upstream_ready(now) && self != nullptr
        && membership::is_eligible(self->state) && domain_state() == configuration::domain_state::in;
    result.mean_open_flows = mean_open_flows_;
    result.slots = upstream_returns_packets_ ? slots_ : 0;
    if (requests_ != nullptr) {
        result.new_flows_per_second = requests_->allowed_flows_per_second();
        if (!std::isinf(result.new_flows_per_second))
            result.burst = std::max(1.0, result.new_flows_per_second * cold_start_burst_share);
    }
    const auto state = states_.load();
    const auto* const service = state ? find_service(*state, service_) : nullptr;
    const bool is_cold_now = presence_ && is_cold(now);
    const bool starts_slowly = service != nullptr && service->cold_start.duration > core::milliseconds{0};
    result.paces_starts = adapts_start_pace_ && (starts_slowly || is_cold_now);
    if (!is_cold_now)
        return result;
    if (service == nullptr || service->cold_start.flows_per_second <= 0)
        return result;
    result.new_flows_per_second = service->cold_start.flows_per_second;
    result.burst = std::max(1.0, result.new_flows_per_second * cold_start_burst_share);
    return result;
}

void agent_process::publish_identity()
{
    const auto* const self = find_own_upstream();
    if (self == nullptr)
        return;
    frontends::agent_identity next{*id_, self->service, std::nullopt, is_draining()};
    if (process_restarted_)
        next.records_complete_since = started_at_wall_time_;
    const auto current = identities_.load();
    if (!current || !(*current == next))
        identities_.publish(std::make_shared<const frontends::agent_identity>(next));
}

void agent_process::publish_agent_snapshot()
{
    const auto state = states_.load();
    const auto* const self = find_own_upstream();
    if (!state || self == nullptr)
        return;
    routing::agent_snapshot next;
    next.self = *id_;
    next.service = self->service;
    next.upstream_incarnation = upstream_incarnation();
    next.applied = state->applied;
    next.table = routes_.load();
    next.members = next.table->find_service(self->service);
    next.upstream_returns_packets = upstream_returns_packets_;
    if (const auto age = subscriber_->age())
        next.table_current_until = transport::read_clock() - *age + dissemination::subscription_limits{}.max_age;
    next.domain_out_of_service = is_domain_out();
    const membership::agent_restart restart{
        process_restarted_, upstream_restarted_, has_upstream_left(transport::read_clock()), upstream_returns_packets_};
    if (membership::may_hold_unknown_flows(restart))
        next.recovering_until = started_at_ + recovery_window_;
    next.admission = make_admission(transport::read_clock());
    const auto current = agent_snapshots_.load();
    if (!current || !(*current == next))
        agent_snapshots_.publish(std::make_shared<const routing::agent_snapshot>(next));
}

void agent_process::count_flow_usage()
{
    const auto view = receiver_->view();
    const accounting::usage_counters used{
        view.flows - last_view_.flows, view.packets - last_view_.packets, view.bytes - last_view_.bytes, 0, 0};
    last_view_ = view;
    if (used.packets > 0)
        usage_.add(charged_neighbour(), service_, used);
}

core::neighbour agent_process::charged_neighbour() const
{
    // Packets carry no credentials. Flows are therefore charged to the owner of the service or, without an owner, to
    // the only neighbour of its profile.
    const auto state = states_.load();
    const auto* const service = state ? find_service(*state, service_) : nullptr;
    if (service == nullptr)
        return core::neighbour("unassigned");
    if (!service->owner.value().empty())
        return service->owner;
    const auto it = state->configuration.profiles.find(service->profile);
    if (it == state->configuration.profiles.end() || it->second.neighbours.size() != 1)
        return core::neighbour("unassigned");
    return it->second.neighbours.front().name;
}

void agent_process::on_tick()
{
    count_flow_usage();
    if (presence_)
        update_presence();
    else
        publish_agent_snapshot();
    const auto now = transport::read_clock();
    const auto* const self = find_own_upstream();
    departure_.update(has_upstream_left(now), self == nullptr || self->state == membership::upstream_state::gone, now);
    if (departure_decision_deadline_ && (now >= *departure_decision_deadline_ || !presence_->is_departure_undecided()))
        begin_stop(now);
    if (stop_deadline_)
        finish_if_drained();
}

membership::heartbeat agent_process::make_heartbeat()
{
    membership::heartbeat result;
    result.sender_role = membership::process_role::agent;
    result.sender = runtime_.identity().incarnation;
    result.name = runtime_.identity().name;
    result.domain = runtime_.identity().domain;
    if (const auto state = states_.load())
        result.applied = state->applied;
    result.service = service_;
    result.packet_endpoint = packet_endpoint_;
    result.request_endpoint = request_endpoint_;
    result.slots = slots_;
    result.upstream_incarnation = upstream_incarnation();
    result.draining = stop_deadline_.has_value() || !is_upstream_available(transport::read_clock());
    result.departed = has_upstream_left(transport::read_clock());
    result.usage = usage_.take_report(transport::read_clock());
    return frontends::with_flows(std::move(result), receiver_->view());
}

void agent_process::refresh(const core::version& seen)
{
    subscriber_->refresh(seen);
}

void agent_process::stop()
{
    const auto now = transport::read_clock();
    // Whether the upstream has stopped decides how this process does. If it has, it is silent by the deadline.
    if (presence_ && presence_->is_departure_undecided())
        departure_decision_deadline_ = now + presence_->max_silence() + tick_period;
    else
        begin_stop(now);
}

void agent_process::begin_stop(core::time_point now)
{
    departure_decision_deadline_.reset();
    if (has_upstream_left(now)) {
        stop_deadline_ = now + membership::departure_tracker::max_wait;
        return finish_if_drained();
    }
    // With a drain limit of 0, the process is probably being restarted, and the flows stay with the upstream.
    if (drain_limit_ == core::milliseconds{0})
        return runtime_.finish();
    stop_deadline_ = now + drain_limit_;
    heartbeats_->send_now();
    publish_identity();
    publish_agent_snapshot();
    if (requests_ == nullptr) {
        requests_drained_ = true;
        return;
    }
    const auto drained = [this] {
        QMetaObject::invokeMethod(
            runtime_.parent(), [this] { requests_drained_ = true; }, Qt::QueuedConnection);
    };
    request_thread_->post([this, drained] { requests_->shut_down(drained); });
}

void agent_process::finish_if_drained()
{
    const auto now = transport::read_clock();
    // The flows of an upstream that has left are closed, so only packets of other upstreams' flows matter.
    const bool drained =
        has_upstream_left(now) ? departure_.may_end(now) : requests_drained_ && receiver_->view().open_flows == 0;
    if (drained || now >= *stop_deadline_)
        runtime_.finish();
}

} // namespace ibisdyke::agent
