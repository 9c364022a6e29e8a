#include "measure/deployment/address_plan.h"
#include "measure/flows/flow_load.h"
#include "measure/proxy/fault_proxy.h"
#include "measure/requests/request_load.h"
#include "measure/support/event_wait.h"
#include "measure/support/worker_thread.h"

#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QHostAddress>
#include <QUdpSocket>

#include <array>

using namespace ibisdyke;
using namespace ibisdyke::measure;
using namespace std::chrono_literals;

namespace {

topology create_topology()
{
    topology it;
    service_spec service;
    service.name = "a";
    service.upstreams = 1;
    service.cold_ramp = 0ms;
    service.requests.deadline = 1500ms;
    service.requests.work = 20ms;
    it.services = {service};
    it.flows_per_s = 100;
    it.flow_s = 0.5;
    it.requests_per_s = 100;
    it.keepalive = 100ms;
    return it;
}

/// Callers and a fake upstream with only the proxy between them. The fabric sends packets to the upstream as if it were
/// a balancer.
class load_fixture {
public:
    explicit load_fixture(core::milliseconds cold_ramp = 0ms, core::milliseconds flow_give_up = 1500ms)
    {
        topology_.flow_give_up = flow_give_up;
        const instance agent{instance_kind::agent, "a-0", 0, "domain-0", 0};
        const auto packets = addresses_->upstream(agent, port_kind::upstream_packets);
        const auto requests = addresses_->upstream(agent, port_kind::upstream_requests);
        const auto proxied_packets = addresses_->advertised(agent, port_kind::packets);
        const auto proxied_requests = addresses_->advertised(agent, port_kind::requests);
        proxy_ = std::make_unique<worker_thread<fault_proxy>>([&] {
            const std::vector<route> routes{
                {route_kind::datagrams, "a-0", proxied_packets, packets, address_plan::service_address(0)},
                {route_kind::datagrams, callers_name, addresses_->advertised_callers(), addresses_->callers(),
                    std::nullopt},
                {route_kind::control, "a-0", proxied_requests, requests, std::nullopt}};
            auto it = std::make_unique<fault_proxy>(routes,
                std::map<std::uint32_t, std::string>{
                    {addresses_->callers().address, callers_name}, {packets.address, "a-0"}},
                link_table({{"a-0", "domain-0"}}, 0ms, 1ms), 1);
            it->open("a-0");
            return it;
        });
        flows_ = std::make_unique<worker_thread<flow_load>>([&] {
            upstream_packets_spec spec;
            spec.name = "a-0";
            spec.service = "a";
            spec.service_address = address_plan::service_address(0);
            spec.listen = packets;
            spec.callers = addresses_->advertised_callers();
            return std::make_unique<flow_load>(
                topology_, addresses_->callers(), packet_balancers_, std::vector<upstream_packets_spec>{spec});
        });
        requests_ = std::make_unique<worker_thread<request_load>>([&] {
            upstream_requests_spec spec;
            spec.name = "a-0";
            spec.service = "a";
            spec.listen = requests;
            spec.slots = 5;
            spec.cold_ramp = cold_ramp;
            return std::make_unique<request_load>(topology_, caller_identity{addresses_->callers().address, "token"},
                request_balancers_, std::vector<upstream_requests_spec>{spec});
        });
        packet_balancers_.publish(std::make_shared<const balancer_endpoints>(balancer_endpoints{proxied_packets}));
        request_balancers_.publish(std::make_shared<const request_endpoints>(request_endpoints{proxied_requests}));
    }

    void run(std::chrono::milliseconds time) const
    {
        flows_->call([](auto& it) { it.start(); });
        requests_->call([](auto& it) { it.start(); });
        wait_until([] { return false; }, time);
    }

    request_counts end_requests()
    {
        requests_->call([](auto& it) { it.stop_opening(); });
        wait_until([this] { return requests_->call([](auto& it) { return it.outstanding(); }) == 0; }, 3s);
        return requests_->call([](auto& it) { return it.counts(); });
    }

    int argc_ = 0;
    QCoreApplication application_{argc_, nullptr};
    topology topology_ = create_topology();
    std::unique_ptr<address_plan> addresses_ = address_plan::claim();
    core::snapshot_publisher<balancer_endpoints> packet_balancers_;
    core::snapshot_publisher<request_endpoints> request_balancers_;
    std::unique_ptr<worker_thread<fault_proxy>> proxy_;
    std::unique_ptr<worker_thread<flow_load>> flows_;
    std::unique_ptr<worker_thread<request_load>> requests_;
};

class cold_fixture : public load_fixture {
public:
    cold_fixture()
        : load_fixture(10s)
    {
    }

    std::uint64_t overload() const
    {
        return requests_->call([](auto& it) { return it.upstream_counts().at("a-0").cold_overload; });
    }
};

/// Flows are given up only after 3000 ms. Packets are retransmitted after 250, 500, 1000 and 1000 ms, so with a limit
/// of 1500 ms three consecutive losses end a flow; at a loss of 0.1 in each direction this happened in 6 of 40 runs.
class lossy_fixture : public load_fixture {
public:
    lossy_fixture()
        : load_fixture(0ms, 3000ms)
    {
    }
};

} // namespace

TEST_CASE_METHOD(load_fixture, "callers and upstreams agree when nothing fails")
{
    run(1500ms);
    const auto flows = flows_->call([](auto& it) { return it.counts(); });
    CHECK(flows.flows > 100);
    CHECK(flows.broken.empty());
    CHECK(flows.refused == 0);
    const auto requests = end_requests();
    CHECK(requests.requests > 100);
    CHECK(requests.answered == requests.requests);
    CHECK(requests.faults.empty());
    CHECK(requests.interrupted == 0);
    CHECK(proxy_->call([](auto& it) { return it.misdirected_packets(); }) == 0);
    CHECK(proxy_->call([](auto& it) { return it.control_bytes().at(callers_name); }) > 10'000);
}

// Flows that an upstream's restart breaks, and requests that are lost in a partition, must be counted.
TEST_CASE_METHOD(load_fixture, "an upstream that loses its state breaks its flows, and a partition loses requests")
{
    run(700ms);
    flows_->call([](auto& it) {
        it.upstream("a-0").stop();
        it.upstream("a-0").start();
    });
    wait_until([] { return false; }, 500ms);
    const auto flows = flows_->call([](auto& it) { return it.counts(); });
    CHECK(flows.broken.size() > 10);
    CHECK(flows.broken.at(0).upstream == "a-0");
    proxy_->call([](auto& it) { it.change([](auto& links) { links.partition({callers_name}, {"a-0"}); }); });
    wait_until([] { return false; }, 300ms);
    CHECK(end_requests().lost > 10);
}

// Answers must pass through the proxy. Otherwise they would have no delay and no faults, and callers would see better
// results than in reality.
TEST_CASE_METHOD(load_fixture, "the link's conditions hold on the way from an upstream to callers")
{
    const instance agent{instance_kind::agent, "a-0", 0, "domain-0", 0};
    // Packets to the upstream bypass the proxy, so the loss applies only to the answers.
    packet_balancers_.publish(std::make_shared<const balancer_endpoints>(
        balancer_endpoints{addresses_->upstream(agent, port_kind::upstream_packets)}));
    const auto set_loss = [this](double loss) {
        proxy_->call([loss](auto& it) {
            it.change([loss](auto& links) { links.set_conditions({callers_name}, {"a-0"}, {loss, 0, 0, 0ms}); });
        });
    };
    const auto count_flows = [this] { return flows_->call([](auto& it) { return it.counts(); }).flows; };
    set_loss(1);
    run(500ms);
    CHECK(count_flows() == 0);
    set_loss(0);
    wait_until([] { return false; }, 500ms);
    CHECK(count_flows() > 10);
}

// Packets to another service's agent must be counted at the proxy. The agent drops such packets, so its upstream cannot
// count them.
TEST_CASE_METHOD(load_fixture, "the proxy counts packets that are sent to another service's agent")
{
    const auto service = GENERATE(std::size_t{0}, std::size_t{1});
    flow_packet packet;
    packet.key.caller = {addresses_->callers().address, 5000};
    packet.key.service = address_plan::service_address(service);
    packet.name = "a";
    const auto encoded = encode(packet);
    const QByteArray header("header");
    const std::array<char, 2> length{0, static_cast<char>(header.size())};
    const auto datagram = QByteArray(length.data(), length.size()) + header
        + QByteArray(reinterpret_cast<const char*>(encoded.data()), static_cast<qsizetype>(encoded.size()));
    const instance agent{instance_kind::agent, "a-0", 0, "domain-0", 0};
    const auto to = addresses_->advertised(agent, port_kind::packets);
    QUdpSocket balancer;
    balancer.writeDatagram(datagram, QHostAddress(to.address), to.port);
    const auto count = [this] { return proxy_->call([](auto& it) { return it.misdirected_packets(); }); };
    wait_until([&] { return count() > 0; }, 300ms);
    CHECK(count() == service);
}

// A flow must not be reported as broken only because packets were lost, duplicated or reordered, or because the
// upstream was paused.
TEST_CASE_METHOD(lossy_fixture, "flows survive loss, duplicates and reordering, and a paused upstream")
{
    // A loss of 0.05 in each direction loses one exchange in ten.
    proxy_->call([](auto& it) {
        it.change([](auto& links) { links.set_conditions({callers_name}, {"a-0"}, {0.05, 0.05, 0.1, 5ms}); });
    });
    run(500ms);
    const auto pause = [](auto& it) { it.upstream("a-0").pause(); };
    const auto resume = [](auto& it) { it.upstream("a-0").resume(); };
    flows_->call(pause);
    requests_->call(pause);
    wait_until([] { return false; }, 500ms);
    flows_->call(resume);
    requests_->call(resume);
    // Not shorter than the limit of 3000 ms, so that flows without answers are given up and counted within the test.
    wait_until([] { return false; }, 3000ms);
    const auto flows = flows_->call([](auto& it) { return it.counts(); });
    CHECK(flows.flows > 50);
    CHECK(flows.broken.empty());
    const auto requests = end_requests();
    CHECK(requests.answered > 100);
    CHECK(requests.faults.empty());
}

// The proxy must refuse connections to a process that has exited, as a closed port does. If it accepted them, callers
// would wait until their deadline.
TEST_CASE_METHOD(load_fixture, "requests to a closed address are refused and answered once it is open again")
{
    proxy_->call([](auto& it) { it.close("a-0"); });
    run(300ms);
    proxy_->call([](auto& it) { it.open("a-0"); });
    const auto requests = end_requests();
    CHECK(requests.answered == requests.requests);
    CHECK(requests.false_not_run == 0);
}

// An interrupted request must be counted even though it is answered in the end: when a process stops during a request,
// the caller sends the request again.
TEST_CASE_METHOD(load_fixture, "a request whose connection ends under it counts as interrupted although it is answered")
{
    run(300ms);
    proxy_->call([](auto& it) {
        it.close("a-0");
        it.open("a-0");
    });
    const auto requests = end_requests();
    CHECK(requests.interrupted > 0);
    CHECK(requests.lost == 0);
}

// Overload in cold start must be counted, but not before the agent can know of the cold start. In a cold start without
// a restart, the agent learns of it only from the first refusal.
TEST_CASE_METHOD(cold_fixture, "overload counts at once after a start, and after the first refusal otherwise")
{
    run(500ms);
    const auto announced = overload();
    CHECK(announced > 0);
    requests_->call([](auto& it) { it.upstream("a-0").begin_cold_start(10s); });
    wait_until([] { return false; }, 1500ms);
    CHECK(overload() == announced);
    requests_->call([](auto& it) { it.upstream("a-0").begin_cold_start(100ms); });
    wait_until([] { return false; }, 2500ms);
    CHECK(overload() > announced);
}
