// Measures the control traffic: the sizes of messages, the costs of encoding, decoding and applying them, and the
// fan-out of changes from one process to simulated subscribers on a second thread. The subscribers implement only the
// protocol. Prints one line of JSON.

#include "ibisdyke/dissemination/delta.h"
#include "ibisdyke/dissemination/delta_history.h"
#include "ibisdyke/dissemination/wire/codec.h"
#include "ibisdyke/frontends/discovery/subscription_server.h"
#include "ibisdyke/membership/lease_table.h"
#include "ibisdyke/membership/wire/codec.h"
#include "ibisdyke/observability/counter_registry.h"
#include "ibisdyke/transport/http2_client.h"
#include "ibisdyke/transport/http2_server.h"
#include "ibisdyke/transport/rpc_client.h"
#include "ibisdyke/transport/rpc_router.h"
#include "processor_time.h"
#include "statistics.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QThread>
#include <QTimer>

#include <algorithm>
#include <array>
#include <atomic>
#include <ctime>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace ibisdyke;
using namespace std::chrono_literals;

constexpr int design_upstreams = 9300;
constexpr int design_services = 1200;
constexpr int design_balancers = 1400;
constexpr int design_domains = 10;

constexpr int changes_per_run = 100;
constexpr core::milliseconds change_interval{25};
constexpr core::milliseconds idle_time{3000};

std::int64_t read_clock_ns()
{
    return std::chrono::steady_clock::now().time_since_epoch().count();
}

/// Returns the CPU time of the calling thread in microseconds.
double read_cpu_us()
{
    const auto it = benchmarks::processor_time(CLOCK_THREAD_CPUTIME_ID);
    return std::chrono::duration<double, std::micro>(it).count();
}

/// Returns the mean CPU time of `n` calls in microseconds.
template <typename Function>
double measure_us(int n, Function function)
{
    const auto begin = read_cpu_us();
    for (int i = 0; i < n; ++i)
        function();
    return (read_cpu_us() - begin) / n;
}

membership::upstream make_upstream(int i, int services)
{
    membership::upstream it;
    it.id = core::upstream_id((1000 + static_cast<std::uint64_t>(i)) * 1024);
    it.service = core::service_id(1 + static_cast<std::uint64_t>(i % services));
    it.name = "service-" + std::to_string(i % services) + "-host-" + std::to_string(i);
    it.domain = core::failure_domain("zone-" + std::to_string(i % design_domains));
    it.packet_endpoint = {0x0a000000U + static_cast<std::uint32_t>(i), 7000};
    it.request_endpoint = {0x0a000000U + static_cast<std::uint32_t>(i), 7001};
    it.agent = core::incarnation(0x9e3779b97f4a7c15ULL * static_cast<std::uint64_t>(i + 1));
    it.slots = 5;
    it.state = membership::upstream_state::active;
    it.history = {{{12, 1000 + static_cast<std::uint64_t>(i)}, std::nullopt}};
    return it;
}

dissemination::system_state make_state(int upstreams, int services)
{
    dissemination::system_state it;
    it.applied = {12, 20'000};
    for (int i = 0; i < services; ++i) {
        configuration::service service;
        service.id = core::service_id(1 + static_cast<std::uint64_t>(i));
        service.name = "service-" + std::to_string(i);
        service.profile = "standard";
        service.addresses = {
            {{0xc6330000U + static_cast<std::uint32_t>(i), 443}, configuration::transport_protocol::tcp}};
        it.configuration.services.emplace(service.id, service);
    }
    configuration::profile profile;
    profile.name = "standard";
    it.configuration.profiles.emplace(profile.name, profile);
    for (int i = 0; i < design_domains; ++i) {
        const core::failure_domain name("zone-" + std::to_string(i));
        it.configuration.domains.emplace(
            name, configuration::domain{name, configuration::domain_state::in, {{{12, 5}, std::nullopt}}});
    }
    for (int i = 0; i < upstreams; ++i) {
        const auto upstream = make_upstream(i, services);
        it.membership.upstreams.emplace(upstream.id, upstream);
    }
    return it;
}

/// Returns the next version of the state, in which one upstream has changed.
dissemination::system_state_snapshot change_one_host(const dissemination::system_state& before)
{
    auto after = std::make_shared<dissemination::system_state>(before);
    ++after->applied.index;
    auto& upstream = after->membership.upstreams.begin()->second;
    upstream.agent = core::incarnation(upstream.agent.value() + 1);
    return after;
}

membership::heartbeat make_heartbeat(const membership::upstream& upstream, const std::string& service)
{
    membership::heartbeat it;
    it.sender_role = membership::process_role::agent;
    it.sender = upstream.agent;
    it.sequence = 172'800;
    it.name = upstream.name;
    it.domain = upstream.domain;
    it.applied = {12, 20'000};
    it.peer_endpoint = upstream.request_endpoint;
    it.service = service;
    it.packet_endpoint = upstream.packet_endpoint;
    it.request_endpoint = upstream.request_endpoint;
    it.slots = 5;
    it.open_flows = 5000;
    it.flow_watermark = {12, 19'000};
    return it;
}

QJsonObject measure_sizes()
{
    const auto state = make_state(design_upstreams, design_services);
    const auto next = change_one_host(state);
    const auto host = dissemination::difference(state, *next);
    auto out = state;
    ++out.applied.index;
    auto& domain = out.configuration.domains.begin()->second;
    domain.state = configuration::domain_state::out;
    domain.history.back().to = out.applied;
    const auto domain_out = dissemination::difference(state, out);
    const dissemination::subscription_message keep_alive = dissemination::keep_alive{state.applied, 12ms};
    const dissemination::subscription_message snapshot = std::make_shared<const dissemination::system_state>(state);
    const auto size = [](const std::string& it) { return static_cast<qint64>(it.size()); };
    return {{"heartbeat", size(membership::wire::encode(make_heartbeat(make_upstream(7, 1200), "service-7")))},
        {"heartbeat_answer",
            size(membership::wire::encode(membership::heartbeat_answer{
                membership::heartbeat_result::accepted, core::upstream_id(1'000'000), state.applied, 5000.5}))},
        {"one_host_delta", size(dissemination::wire::encode(dissemination::subscription_message(host)))},
        {"domain_delta", size(dissemination::wire::encode(dissemination::subscription_message(domain_out)))},
        {"keep_alive", size(dissemination::wire::encode(keep_alive))},
        {"snapshot_9300_upstreams_1200_services", size(dissemination::wire::encode(snapshot))}};
}

QJsonObject measure_costs()
{
    const auto state = make_state(design_upstreams, design_services);
    const auto next = change_one_host(state);
    const auto change = dissemination::difference(state, *next);
    const dissemination::subscription_message message = change;
    const auto encoded = dissemination::wire::encode(message);
    const auto encoded_state = dissemination::wire::encode(state);
    return {{"difference_us", measure_us(20, [&] { dissemination::difference(state, *next); })},
        {"delta_encode_us", measure_us(2000, [&] { dissemination::wire::encode(message); })},
        {"delta_decode_us", measure_us(2000, [&] { dissemination::wire::decode_subscription_message(encoded); })},
        {"delta_apply_us", measure_us(20, [&] { dissemination::apply(state, change); })},
        {"snapshot_encode_us", measure_us(10, [&] { dissemination::wire::encode(state); })},
        {"snapshot_decode_us", measure_us(10, [&] { dissemination::wire::decode_system_state(encoded_state); })}};
}

/// Measures the leader's costs for heartbeats at the design size, without the transport.
QJsonObject measure_leases()
{
    const auto state = make_state(design_upstreams, design_services);
    core::time_point now(1000s);
    membership::lease_table table({}, now);
    const auto update = [&] {
        table.update({std::shared_ptr<void>(), &state.configuration}, {std::shared_ptr<void>(), &state.membership},
            state.applied, now);
    };
    update();
    std::vector<membership::heartbeat> heartbeats;
    heartbeats.reserve(design_upstreams + design_balancers);
    for (const auto& [id, it] : state.membership.upstreams)
        heartbeats.push_back(make_heartbeat(it, state.configuration.services.at(it.service).name));
    for (int i = 0; i < design_balancers; ++i) {
        membership::heartbeat it;
        it.sender_role = membership::process_role::balancer;
        it.sender = core::incarnation(1 + static_cast<std::uint64_t>(i));
        it.name = "balancer-" + std::to_string(i);
        heartbeats.push_back(it);
    }
    const auto n = static_cast<double>(heartbeats.size());
    const auto round = measure_us(20, [&] {
        now += 100ms;
        for (auto& it : heartbeats) {
            ++it.sequence;
            table.on_heartbeat(it, now);
        }
    });
    const auto encoded = membership::wire::encode(heartbeats.front());
    return {{"heartbeat_decode_us", measure_us(5000, [&] { membership::wire::decode_heartbeat(encoded); })},
        {"lease_table_heartbeat_us", round / n}, {"lease_table_update_us", measure_us(10, update)},
        {"lease_table_tick_us", measure_us(10, [&] {
             table.tick(now);
             table.propose(now, core::wall_time{});
         })}};
}

/// The simulated subscribers of a run, which share a thread.
class simulated_subscribers : public QObject {
public:
    /// Time at which each change was published, by the change's index.
    using publish_times = std::array<std::atomic<std::int64_t>, changes_per_run>;

    simulated_subscribers(const core::endpoint& peer, int n, const publish_times& published, std::uint64_t first_index)
        : peer_(peer)
        , count_(n)
        , published_(published)
        , first_index_(first_index)
    {
    }

    void open()
    {
        const dissemination::subscribe_request request{{}, "stand-in", std::nullopt, {}};
        const auto body = dissemination::wire::encode(request);
        for (int i = 0; i < count_; ++i) {
            auto* const client = new transport::http2_client(peer_, 0, {}, &meter_, this); // NOLINT
            subscriptions_.push_back(transport::rpc_subscription::create(
                *client, "/dissemination/subscribe", body, [this](const auto& it) { on_message(it); }, [] {}));
        }
    }

    void close()
    {
        for (const auto& it : subscriptions_)
            it->cancel();
        subscriptions_.clear();
        qDeleteAll(children());
    }

    int ready() const { return ready_.load(); }
    int applied() const { return applied_.load(); }
    std::uint64_t received_bytes() const { return meter_.received_bytes(); }
    std::vector<double> latencies_ms() const { return latencies_ms_; }

private:
    void on_message(const std::string& bytes)
    {
        const auto message = dissemination::wire::decode_subscription_message(bytes);
        if (std::holds_alternative<dissemination::system_state_snapshot>(message))
            ++ready_;
        const auto* const change = std::get_if<dissemination::delta>(&message);
        if (change == nullptr)
            return;
        const auto at = published_.at(change->to.index - first_index_).load();
        latencies_ms_.push_back(static_cast<double>(read_clock_ns() - at) / 1e6);
        ++applied_;
    }

    core::endpoint peer_;
    int count_;
    const publish_times& published_;
    std::uint64_t first_index_;
    transport::traffic_meter meter_;
    std::vector<std::shared_ptr<transport::rpc_subscription>> subscriptions_;
    std::vector<double> latencies_ms_;
    std::atomic<int> ready_{0};
    std::atomic<int> applied_{0};
};

/// Runs the event loop until the condition holds or the limit has passed. Checks the condition at least every 10 ms.
template <typename Condition>
bool run_until(Condition condition, core::milliseconds limit)
{
    // processEvents() with a time limit does not wait for events, so the loop would spin. The timer ends the wait
    // instead.
    QTimer wake;
    wake.setTimerType(Qt::PreciseTimer);
    wake.start(std::min(limit, core::milliseconds{10}));
    QElapsedTimer timer;
    timer.start();
    while (!condition() && timer.elapsed() < limit.count())
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    return condition();
}

void run_for(core::milliseconds duration)
{
    run_until([] { return false; }, duration);
}

/// Measures the fan-out of changes of one host to `n` simulated subscribers.
QJsonObject measure_fan_out(int n)
{
    observability::counter_registry counters;
    transport::rpc_router router;
    auto server = std::unique_ptr<transport::http2_server>(
        transport::http2_server::create(core::endpoint::create("127.0.0.1:0"), {}, router, nullptr, nullptr));
    frontends::subscription_server subscriptions(
        router, counters, [] { return std::optional(core::milliseconds{0}); }, 1000, nullptr);
    auto state = std::make_shared<const dissemination::system_state>(make_state(20, 2));
    subscriptions.publish(state);

    simulated_subscribers::publish_times published{};
    simulated_subscribers subscribers(server->address(), n, published, state->applied.index + 1);
    QThread thread;
    subscribers.moveToThread(&thread);
    thread.start();
    QMetaObject::invokeMethod(&subscribers, &simulated_subscribers::open, Qt::QueuedConnection);
    run_until([&] { return subscribers.ready() == n; }, 10s);

    const auto idle_bytes = subscribers.received_bytes();
    const auto idle_cpu = read_cpu_us();
    run_for(idle_time);
    const auto idle_seconds = static_cast<double>(idle_time.count()) / 1e3;
    const auto idle_bytes_per_s = static_cast<double>(subscribers.received_bytes() - idle_bytes) / idle_seconds / n;
    const auto idle_cpu_us_per_s = (read_cpu_us() - idle_cpu) / idle_seconds;

    std::vector<dissemination::system_state_snapshot> changes;
    changes.reserve(changes_per_run);
    for (int i = 0; i < changes_per_run; ++i) {
        state = change_one_host(*state);
        changes.push_back(state);
    }
    const auto busy_bytes = subscribers.received_bytes();
    const auto busy_cpu = read_cpu_us();
    QElapsedTimer timer;
    timer.start();
    for (int i = 0; i < changes_per_run; ++i) {
        published.at(static_cast<std::size_t>(i)).store(read_clock_ns());
        subscriptions.publish(changes.at(static_cast<std::size_t>(i)));
        run_for(change_interval);
    }
    const bool complete = run_until([&] { return subscribers.applied() == n * changes_per_run; }, 10s);
    const auto seconds = static_cast<double>(timer.elapsed()) / 1e3;
    const auto cpu_us = read_cpu_us() - busy_cpu - idle_cpu_us_per_s * seconds;
    const auto bytes = static_cast<double>(subscribers.received_bytes() - busy_bytes);

    QMetaObject::invokeMethod(&subscribers, &simulated_subscribers::close, Qt::BlockingQueuedConnection);
    thread.quit();
    thread.wait();
    return {{"subscribers", n}, {"complete", complete},
        {"accepted_to_applied_p50_ms", benchmarks::percentile(subscribers.latencies_ms(), 0.5)},
        {"accepted_to_applied_p99_ms", benchmarks::percentile(subscribers.latencies_ms(), 0.99)},
        {"bytes_per_s_per_subscriber_at_40_changes_per_s", bytes / seconds / n},
        {"idle_bytes_per_s_per_subscriber", idle_bytes_per_s},
        {"server_cpu_us_per_change_per_subscriber", cpu_us / changes_per_run / n},
        {"server_idle_cpu_us_per_s_per_subscriber", idle_cpu_us_per_s / n}};
}

} // namespace

int main(int argc, char** argv)
{
    const QCoreApplication application(argc, argv);
    QJsonArray fan_out;
    for (const int n : {1, 10, 50, 200})
        fan_out.append(measure_fan_out(n));
    const QJsonObject result{{"benchmark", "dissemination"}, {"sizes_bytes", measure_sizes()},
        {"costs_at_9300_upstreams", measure_costs()}, {"leases_at_10700_processes", measure_leases()},
        {"fan_out", fan_out}};
    std::cout << QJsonDocument(result).toJson(QJsonDocument::Compact).toStdString() << '\n';
    return 0;
}
