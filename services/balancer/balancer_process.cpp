#include "balancer_process.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/frontends/discovery/control_settings.h"
#include "ibisdyke/frontends/discovery/routing_input.h"
#include "ibisdyke/observability/log.h"
#include "ibisdyke/requests/attempt_selector.h"
#include "ibisdyke/routing/router_kind.h"
#include "ibisdyke/routing/wire/codec.h"
#include "ibisdyke/transport/clock.h"
#include "ibisdyke/transport/udp_socket.h"

#include <QHostAddress>
#include <QNetworkDatagram>
#include <QTimer>

#include <optional>
#include <utility>

namespace ibisdyke::balancer {

namespace {

constexpr std::uint64_t max_packet_threads = 64;
constexpr core::milliseconds max_stop_delay{60'000};
constexpr core::milliseconds max_drain_limit{3'600'000};

const std::string chain_order = "chain-order";
const std::string round_robin = "round-robin";

std::unique_ptr<requests::attempt_selector> create_attempt_selector(const std::string& name)
{
    if (name == round_robin)
        return std::make_unique<requests::round_robin_selector>();
    return std::make_unique<requests::chain_order_selector>();
}

} // namespace

void balancer_process::declare_settings(settings::settings_parser& parser)
{
    using settings::presence;
    frontends::process_runtime::declare_settings(parser);
    frontends::declare_peer_port(parser);
    parser.add_endpoints("control", "Peer endpoints of the control processes", presence::required);
    parser.add_endpoints(
        "peers", "Peer endpoints of balancers to subscribe to when no control process answers", presence::optional);
    parser.add_endpoint("listen-packets", "Address for IP packets from the fabric (UDP)", "", presence::required);
    parser.add_endpoint("advertise-packets", "Address to which agents send version notices", "", presence::optional);
    parser.add_endpoint("return-packets",
        "Address to which packets for callers are sent (UDP); without it, packets without a route are not answered", "",
        presence::optional);
    parser.add_endpoint("listen-notices",
        "Address for the version notices of agents (UDP), if agents cannot send them to listen-packets", "",
        presence::optional);
    parser.add_endpoint(
        "listen-health", "Address for the health check, if the front end has one", "", presence::optional);
    parser.add_endpoint("listen-requests",
        "Address for callers' requests (HTTP/2); if empty, the balancer accepts none", "", presence::optional);
    parser.add_endpoint("listen-peer", "Address for subscriptions of other processes", "", presence::required);
    parser.add_endpoint("advertise-peer", "Address at which other processes reach listen-peer", "", presence::optional);
    parser.add_number("packet-threads", "Number of packet threads", 1, 1, max_packet_threads);
    parser.add_choice("router",
        "Router of flows; all except chains are baselines for measurements only and break flows",
        routing::router_names());
    parser.add_choice("attempt-selector",
        "How the upstream of a request is selected; round-robin is a baseline for measurements only",
        {chain_order, round_robin});
    parser.add_duration("stop-delay-ms", "Time between failing the health check and refusing requests",
        core::milliseconds(1000), core::milliseconds(0), max_stop_delay);
    parser.add_duration("drain-limit-ms", "Maximum time to finish open requests during a graceful shutdown",
        core::milliseconds(30'000), core::milliseconds(0), max_drain_limit);
}

balancer_process::balancer_process(
    frontends::process_runtime& runtime, const settings::settings_source& source, const frontends::front_end& front_end)
    : runtime_(runtime)
    , peer_endpoint_(
          source.initial().endpoint(source.initial().is_empty("advertise-peer") ? "listen-peer" : "advertise-peer"))
    , stop_delay_(source.initial().duration("stop-delay-ms"))
{
    const auto& values = source.initial();
    create_control_connections(values);
    create_packet_threads(values, front_end);
    create_health_server(values, front_end);
    if (!values.is_empty("listen-requests"))
        create_request_gateway(values);
    runtime_.watch_settings(source, [this](const settings::setting_values& next) {
        control_endpoints_->set_configured(frontends::peer_endpoints(next, "control"));
    });
}

void balancer_process::create_control_connections(const settings::setting_values& values)
{
    auto* const meter = &runtime_.control_traffic();
    const auto& identity = runtime_.identity();
    subscriber_ = std::make_unique<frontends::state_subscriber>(
        frontends::subscriber_settings{identity.name, frontends::peer_endpoints(values, "control"),
            values.endpoints("peers"), peer_endpoint_, identity.source_address, {}},
        runtime_.counters(), meter, nullptr);
    subscriptions_ = std::make_unique<frontends::subscription_server>(
        router_, runtime_.counters(), [this] { return subscriber_->age(); }, dissemination::default_max_subscribers,
        nullptr);
    frontends::add_state_gauges(runtime_.counters(), *subscriber_);
    subscriber_->on_state([this](const auto& state) { on_state(state); });
    subscriber_->on_keep_alive([this] { subscriptions_->send_keep_alives(); });
    peer_server_ =
        transport::http2_server::create(values.endpoint("listen-peer"), {}, router_, meter, runtime_.parent());
    heartbeats_ = std::make_unique<frontends::heartbeat_sender>(
        frontends::peer_endpoints(values, "control"), identity.source_address, runtime_.counters(), meter,
        [this] { return make_heartbeat(); }, [this](const auto& answer) { refresh(answer.latest); }, nullptr);
    control_endpoints_ = std::make_unique<frontends::control_endpoints>(
        frontends::peer_endpoints(values, "control"), *heartbeats_, *subscriber_);
}

void balancer_process::create_notice_socket(const core::endpoint& address)
{
    notice_endpoint_ = address;
    notice_socket_ = std::make_unique<QUdpSocket>();
    if (!notice_socket_->bind(QHostAddress(address.address), address.port))
        throw core::system_failure("cannot listen on " + to_string(address));
    QObject::connect(notice_socket_.get(), &QUdpSocket::readyRead, notice_socket_.get(), [this] { read_notices(); });
    probe_timer_.setSingleShot(true);
    QObject::connect(&probe_timer_, &QTimer::timeout, &probe_timer_, [this] { probe_agents(); });
    runtime_.counters().add_gauge(
        "unreachable_agents", [this] { return static_cast<double>(reachability_.unreachable().size()); });
}

void balancer_process::read_notices()
{
    while (notice_socket_->hasPendingDatagrams()) {
        const auto bytes = notice_socket_->receiveDatagram().data().toStdString();
        try {
            const auto parts = routing::wire::split_datagram(bytes);
            if (parts.kind == routing::wire::datagram_kind::notice)
                on_version_notice(routing::wire::decode_version_notice(parts.message));
        } catch (const core::malformed_message&) {
            runtime_.counters().add("forwarder_dropped_malformed", 1);
        }
    }
}

void balancer_process::on_version_notice(const routing::version_notice& it)
{
    refresh(it.latest);
    const auto now = transport::read_clock();
    if (it.stopping)
        on_agent_stopping(it.upstream, now);
    else
        reachability_.on_answer(it.upstream, now);
    publish_reachability();
}

void balancer_process::on_agent_stopping(const core::upstream_id& agent, core::time_point now)
{
    const auto routes = routes_.load();
    const auto* const found = routes ? routes->find_member(agent) : nullptr;
    if (found == nullptr)
        return;
    reachability_.on_stopping(found->target, now);
    schedule_probe(now);
}

void balancer_process::on_retransmitted_syn(const std::vector<routing::chain_member>& candidates)
{
    reachability_.start_probing(candidates, transport::read_clock());
    probe_agents();
}

/// Probes the agents that may be unreachable, and schedules the next probe while there are any.
void balancer_process::probe_agents()
{
    // Answers that arrived while this process was not scheduled must count before the next probe is sent.
    read_notices();
    const auto now = transport::read_clock();
    const auto due = reachability_.take_due_probes(now);
    if (!due.empty() && routes_.load()) {
        const auto probe =
            QByteArray::fromStdString(routing::wire::encode_probe_datagram(routes_.load()->at(), notice_endpoint_));
        for (const auto& it : due) {
            const auto sent = notice_socket_->writeDatagram(probe, QHostAddress(it.address), it.port);
            runtime_.counters().add(sent < 0 ? "forwarder_probes_refused" : "forwarder_probes_sent", 1);
        }
    }
    publish_reachability();
    schedule_probe(now);
}

void balancer_process::schedule_probe(core::time_point now)
{
    if (const auto next = reachability_.next_probe_at())
        probe_timer_.start(std::chrono::ceil<core::milliseconds>(*next - now));
}

/// Publishes a new forwarding snapshot for the packet threads when the set of unreachable agents has changed.
void balancer_process::publish_reachability()
{
    const auto current = forwarding_snapshots_.load();
    auto unreachable = reachability_.unreachable();
    if (!current || current->table->unreachable == unreachable)
        return;
    for (const auto& it : unreachable) {
        if (!current->table->unreachable.contains(it))
            observability::write_log(
                observability::log_level::warning, "agent_unreachable", {{"upstream", it.value()}});
    }
    for (const auto& it : current->table->unreachable) {
        if (!unreachable.contains(it))
            observability::write_log(observability::log_level::info, "agent_reachable", {{"upstream", it.value()}});
    }
    forwarding_snapshots_.publish(frontends::forwarding_snapshot::create(
        current->table->chains, current, transport::read_clock(), std::move(unreachable)));
}

void balancer_process::create_health_server(
    const settings::setting_values& values, const frontends::front_end& front_end)
{
    if (values.is_empty("listen-health"))
        return;
    health_server_ = std::make_unique<QHttpServer>();
    front_end.serve_health(*health_server_, frontends::logged([this] { return check_health(); }));
    frontends::listen(*health_server_, values.endpoint("listen-health"));
}

void balancer_process::create_packet_threads(
    const settings::setting_values& values, const frontends::front_end& front_end)
{
    const auto format =
        front_end.callers(values.is_empty("return-packets") ? core::endpoint{} : values.endpoint("return-packets"));
    std::optional<core::endpoint> notices;
    if (!values.is_empty("listen-notices")) {
        notices = values.endpoint("listen-notices");
        create_notice_socket(*notices);
    }
    const auto threads = values.number("packet-threads");
    const auto sharing = threads > 1 ? transport::address_sharing::shared : transport::address_sharing::exclusive;
    for (std::uint64_t i = 0; i < threads; ++i) {
        auto socket = transport::udp_socket::create(values.endpoint("listen-packets"), sharing);
        forwarders_.push_back(std::make_unique<frontends::packet_forwarder>("packet_forwarder_" + std::to_string(i),
            std::move(socket), notices, format, routing::create(*routing::find_router(values.text("router"))),
            forwarding_snapshots_, runtime_.counters(), *runtime_.parent(),
            frontends::packet_forwarder::callbacks{
                [this](const core::version& latest, const core::endpoint&) { refresh(latest); },
                notices ? [this](const auto& candidates) { on_retransmitted_syn(candidates); }
                        : frontends::packet_forwarder::retransmitted_syn_callback()}));
    }
}

void balancer_process::create_request_gateway(const settings::setting_values& values)
{
    request_thread_ = std::make_unique<frontends::request_thread>("requests");
    const frontends::gateway_settings settings{.listen = values.endpoint("listen-requests"),
        .source_address = runtime_.identity().source_address,
        .drain_limit = values.duration("drain-limit-ms")};
    const auto on_newer_version = [this](const core::version& seen) {
        QMetaObject::invokeMethod(
            runtime_.parent(), [this, seen] { refresh(seen); }, Qt::QueuedConnection);
    };
    request_thread_->run([&] {
        gateway_ =
            new frontends::request_gateway(settings, {states_, routes_, runtime_.counters(), nullptr, on_newer_version},
                create_attempt_selector(values.text("attempt-selector")), request_thread_->parent());
    });
}

frontends::exit_code balancer_process::run()
{
    for (const auto& it : forwarders_)
        it->start();
    subscriber_->start();
    heartbeats_->start();
    std::vector<const observability::state_reporter*> reporters{subscriber_.get(), subscriptions_.get()};
    for (const auto& it : forwarders_)
        reporters.push_back(it.get());
    return runtime_.run(
        std::move(reporters), [this] { return check_health(); }, [this] { stop(); });
}

void balancer_process::on_state(const dissemination::system_state_snapshot& state)
{
    const auto routes = routing::routing_table::create(
        state->applied, frontends::routing_input(*state), routes_.load(), frontends::flow_routes(state->configuration));
    routes_.publish(routes);
    reachability_.remove_missing(*routes);
    forwarding_snapshots_.publish(frontends::forwarding_snapshot::create(
        routes, forwarding_snapshots_.load(), transport::read_clock(), reachability_.unreachable()));
    states_.publish(state);
    control_endpoints_->set_members(state->membership);
    subscriptions_->publish(state);
}

membership::heartbeat balancer_process::make_heartbeat() const
{
    membership::heartbeat result;
    result.sender_role = membership::process_role::balancer;
    result.sender = runtime_.identity().incarnation;
    result.name = runtime_.identity().name;
    result.domain = runtime_.identity().domain;
    result.peer_endpoint = peer_endpoint_;
    if (const auto state = states_.load())
        result.applied = state->applied;
    return result;
}

frontends::health balancer_process::check_health() const
{
    if (stopping_)
        return {false, "stopping"};
    const auto state = states_.load();
    if (!state)
        return {false, "no table yet"};
    const auto& domains = state->configuration.domains;
    const auto it = domains.find(runtime_.identity().domain);
    if (it != domains.end() && it->second.state == configuration::domain_state::out)
        return {false, "failure domain is out of service"};
    return {};
}

void balancer_process::refresh(const core::version& seen)
{
    subscriber_->refresh(seen);
}

void balancer_process::stop()
{
    // The fabric needs time to notice the failing health check before the balancer refuses requests.
    stopping_ = true;
    QTimer::singleShot(stop_delay_, runtime_.parent(), [this] { drain_requests(); });
}

void balancer_process::drain_requests()
{
    if (gateway_ == nullptr)
        return runtime_.finish();
    const auto finish = [this] {
        QMetaObject::invokeMethod(
            runtime_.parent(), [this] { runtime_.finish(); }, Qt::QueuedConnection);
    };
    request_thread_->post([this, finish] { gateway_->shut_down(finish); });
}

} // namespace ibisdyke::balancer
