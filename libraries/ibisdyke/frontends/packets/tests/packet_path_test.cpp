#include "ibisdyke/frontends/packets/ip_packet_format.h"
#include "ibisdyke/frontends/packets/packet_forwarder.h"
#include "ibisdyke/frontends/packets/packet_receiver.h"
#include "ibisdyke/routing/chain_router.h"
#include "ibisdyke/routing/failed_searches.h"
#include "ibisdyke/routing/wire/codec.h"
#include "ibisdyke/testing/event_loop.h"
#include "ibisdyke/transport/udp_socket.h"

#include <QCoreApplication>

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <semaphore>
#include <string>
#include <thread>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>
#include <tins/udp.h>
#include <vector>

using namespace ibisdyke;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t loopback = 0x7f000001;
constexpr std::uint16_t service_port = 443;
const core::service_id service(7);

std::unique_ptr<transport::udp_socket> open_socket()
{
    return transport::udp_socket::create({loopback, 0}, transport::address_sharing::exclusive);
}

std::string tcp_packet(std::uint16_t source_port, int flags, const std::string& payload)
{
    auto ip = Tins::IP("10.1.1.1", "10.9.9.9") / Tins::TCP(service_port, source_port);
    ip.rfind_pdu<Tins::TCP>().flags(Tins::small_uint<12>(static_cast<std::uint16_t>(flags)));
    if (!payload.empty())
        ip /= Tins::RawPDU(payload);
    const auto bytes = ip.serialize();
    return {bytes.begin(), bytes.end()};
}

std::string udp_packet(std::uint16_t source_port)
{
    auto ip = Tins::IP("10.1.1.1", "10.9.9.9") / Tins::UDP(service_port, source_port) / Tins::RawPDU("hello");
    const auto bytes = ip.serialize();
    return {bytes.begin(), bytes.end()};
}

/// Returns the next datagram, or nothing if none arrives within the timeout.
std::optional<std::string> receive(transport::datagram_socket& from, std::chrono::milliseconds timeout)
{
    transport::datagram_batch batch(1);
    if (from.receive(batch) == 0) {
        from.wait(timeout);
        if (from.receive(batch) == 0)
            return std::nullopt;
    }
    return std::string(batch.bytes(0));
}

void send(transport::datagram_socket& from, const std::string& bytes, const core::endpoint& to)
{
    REQUIRE(from.send({{bytes, to}}) == 0);
}

/// An IP packet format that also states how often the caller has sent the SYN before.
class counting_packet_format final : public frontends::packet_format {
public:
    explicit counting_packet_format(const core::endpoint& caller_return)
        : ip_(caller_return)
    {
    }

    frontends::parsed_packet parse(std::string_view packet) const override
    {
        auto result = ip_.parse(packet);
        result.info.syn_retransmissions = syn_retransmissions_;
        result.info.answer_wait = answer_wait_;
        return result;
    }

    std::optional<std::string> make_reject(std::string_view packet) const override { return ip_.make_reject(packet); }

    core::endpoint caller_endpoint(std::string_view packet) const override { return ip_.caller_endpoint(packet); }

    /// Must be set before the packet threads start.
    std::uint32_t syn_retransmissions_ = 0;
    core::milliseconds answer_wait_{0};

private:
    frontends::ip_packet_format ip_;
};

/// A socket whose user can be paused: wait() then returns late, as in a process that was stopped meanwhile.
class pausable_socket final : public transport::datagram_socket {
public:
    explicit pausable_socket(std::unique_ptr<transport::datagram_socket> inner)
        : inner_(std::move(inner))
    {
    }

    core::endpoint local() const override { return inner_->local(); }
    int descriptor() const override { return inner_->descriptor(); }
    void also_wait_for(const transport::datagram_socket& other) override { inner_->also_wait_for(other); }
    void wake() override { inner_->wake(); }
    std::size_t receive(transport::datagram_batch& batch) override { return inner_->receive(batch); }
    std::size_t send(const std::vector<transport::outgoing_datagram>& datagrams) override
    {
        return inner_->send(datagrams);
    }

    void wait(core::milliseconds timeout) override
    {
        inner_->wait(timeout);
        if (!pause_requested_.exchange(false))
            return;
        paused_.release();
        resumed_.acquire();
    }

    /// Stops the reading thread at the end of its next wait(). Returns once the thread has stopped.
    void pause()
    {
        pause_requested_ = true;
        paused_.acquire();
    }

    void resume() { resumed_.release(); }

private:
    std::atomic<bool> pause_requested_{false};
    std::binary_semaphore paused_{0};
    std::binary_semaphore resumed_{0};
    std::unique_ptr<transport::datagram_socket> inner_;
};

/// An upstream with its agent.
struct host {
    core::upstream_id id;
    std::unique_ptr<transport::udp_socket> upstream = open_socket();
    core::snapshot_publisher<routing::agent_snapshot> snapshots;
    observability::counter_registry counters;
    std::vector<core::version> newer_versions;
    std::unique_ptr<frontends::packet_receiver> agent;
};

/// A balancer and several hosts, all on the loopback interface.
class packet_path {
public:
    explicit packet_path(std::size_t host_count, const routing::flow_limits& limits = {})
    {
        for (std::size_t i = 0; i < host_count; ++i) {
            auto& it = *hosts.emplace_back(std::make_unique<host>());
            it.id = core::make_upstream_id(i + 1, 0);
            frontends::packet_receiver_settings settings;
            settings.upstream = it.upstream->local();
            settings.limits = limits;
            it.agent = std::make_unique<frontends::packet_receiver>(settings,
                frontends::packet_receiver::sockets{open_socket(), nullptr},
                frontends::packet_receiver::formats{format, nullptr}, it.snapshots, it.counters, control,
                [&it](const auto& latest, const auto&) { it.newer_versions.push_back(latest); });
        }
        auto socket = std::make_unique<pausable_socket>(open_socket());
        balancer_socket = socket.get();
        forwarder = std::make_unique<frontends::packet_forwarder>("forwarder", std::move(socket), std::nullopt, format,
            std::make_unique<routing::chain_router>(), tables, balancer_counters, control,
            frontends::packet_forwarder::callbacks{
                [this](const auto& latest, const auto&) { newer_versions.push_back(latest); },
                [this](const auto& candidates) { retransmitted_syn_candidates.push_back(candidates); }});
    }

    routing::service_members members() const
    {
        routing::service_members result{service, "formula-desk", {}, {}};
        result.addresses.push_back({{0x0a010101, service_port}, routing::ip_protocol::tcp});
        result.addresses.push_back({{0x0a010101, service_port}, routing::ip_protocol::udp});
        for (const auto& it : hosts) {
            routing::member member;
            member.target = {it->id, it->agent->local(), {}, core::incarnation(1)};
            member.eligible = true;
            member.history = {{{1, 1}, std::nullopt}};
            result.members.push_back(member);
        }
        return result;
    }

    void publish_to_balancer(const core::version& at)
    {
        chains = routing::routing_table::create(at, {members()}, chains);
        tables.publish(frontends::forwarding_snapshot::create(chains, tables.load(), std::chrono::steady_clock::now()));
    }

    void publish_to_agents(const core::version& at, bool domain_out_of_service)
    {
        const auto table = routing::routing_table::create(at, {members()}, nullptr);
        for (const auto& it : hosts) {
            routing::agent_snapshot snapshot;
            snapshot.self = it->id;
            snapshot.service = service;
            snapshot.applied = at;
            snapshot.members = table->find_service(service);
            snapshot.domain_out_of_service = domain_out_of_service;
            it->snapshots.publish(std::make_shared<const routing::agent_snapshot>(snapshot));
        }
    }

    void start()
    {
        for (const auto& it : hosts)
            it->agent->start();
        forwarder->start();
    }

    /// Sends the packet to the balancer and returns the index of the host whose upstream received it, or nothing if
    /// none did within 5 s.
    std::optional<std::size_t> deliver(const std::string& packet)
    {
        send(*caller, packet, forwarder->local());
        const auto deadline = std::chrono::steady_clock::now() + 5s;
        while (std::chrono::steady_clock::now() < deadline) {
            for (std::size_t i = 0; i < hosts.size(); ++i) {
                const auto received = receive(*hosts[i]->upstream, 5ms);
                if (received == packet)
                    return i;
            }
        }
        return std::nullopt;
    }

    /// Runs the control thread's events until the condition holds or 5 s have passed.
    template <typename Condition>
    bool run_until(Condition condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + 5s;
        while (!condition() && std::chrono::steady_clock::now() < deadline)
            testing::run_event_loop(std::chrono::milliseconds(5));
        return condition();
    }

    int argument_count = 0;
    QCoreApplication application{argument_count, nullptr};
    std::unique_ptr<transport::udp_socket> caller = open_socket();
    std::shared_ptr<counting_packet_format> format = std::make_shared<counting_packet_format>(caller->local());
    QObject control;
    std::vector<std::unique_ptr<host>> hosts;
    core::snapshot_publisher<frontends::forwarding_snapshot> tables;
    observability::counter_registry balancer_counters;
    std::vector<core::version> newer_versions;
    std::vector<std::vector<routing::chain_member>> retransmitted_syn_candidates;
    std::shared_ptr<const routing::routing_table> chains;
    std::unique_ptr<frontends::packet_forwarder> forwarder;
    /// Belongs to the forwarder.
    pausable_socket* balancer_socket = nullptr;
};

} // namespace

// When the flow table is full, a flood of half-open flows could evict the entries of open flows, which would break
// promise P1 of docs/promises.md.
TEST_CASE("established flows survive a flood of SYNs that fills the flow table")
{
    routing::flow_limits limits;
    limits.max_entries = 400;
    packet_path path(3, limits);
    path.publish_to_balancer({1, 5});
    path.publish_to_agents({1, 5}, false);
    path.start();
    constexpr std::uint16_t first_port = 2000;
    constexpr std::uint16_t flows = 100;
    std::vector<std::optional<std::size_t>> owners;
    for (std::uint16_t i = 0; i < flows; ++i) {
        owners.push_back(path.deliver(tcp_packet(first_port + i, Tins::TCP::SYN, "")));
        REQUIRE(owners.back());
        REQUIRE(path.deliver(tcp_packet(first_port + i, Tins::TCP::ACK, "")) == owners.back());
    }
    // The flood has 40 half-open flows for each open one and exceeds the capacity of all tables together. It is sent in
    // bursts that fit into the socket buffers.
    constexpr std::uint16_t first_flood_port = 10'000;
    constexpr std::uint16_t flood = 4000;
    const auto placed = [&path] {
        std::uint64_t n = 0;
        for (const auto& it : path.hosts)
            n += it->counters.find("agent_flows_placed").value();
        return n;
    };
    for (std::uint16_t i = 0; i < flood; ++i) {
        send(*path.caller, tcp_packet(first_flood_port + i, Tins::TCP::SYN, ""), path.forwarder->local());
        if (i % 50 == 49)
            CHECK(path.run_until([&] { return placed() >= flows + std::uint64_t{i} + 1; }));
    }
    // Empties the upstreams' sockets, so that deliver() does not have to read the packets of the flood first.
    for (const auto& it : path.hosts) {
        while (receive(*it->upstream, 1ms)) { }
    }
    for (std::uint16_t i = 0; i < flows; ++i)
        CHECK(path.deliver(tcp_packet(first_port + i, Tins::TCP::ACK | Tins::TCP::PSH, "data")) == owners[i]);
    // A flow that begins after the flood, while the tables are still full, is served as well.
    const auto owner = path.deliver(tcp_packet(9000, Tins::TCP::SYN, ""));
    REQUIRE(owner);
    CHECK(path.deliver(tcp_packet(9000, Tins::TCP::ACK, "")) == owner);
}

// The later packets of a flow could reach another upstream than the first one, and forwarding could change the bytes of
// a packet.
TEST_CASE("packets of a flow reach one upstream unchanged")
{
    packet_path path(3);
    path.publish_to_balancer({1, 5});
    path.publish_to_agents({1, 5}, false);
    path.start();
    for (std::uint16_t port = 2000; port < 2010; ++port) {
        const auto owner = path.deliver(tcp_packet(port, Tins::TCP::SYN, ""));
        REQUIRE(owner);
        CHECK(path.deliver(tcp_packet(port, Tins::TCP::ACK, "")) == owner);
        CHECK(path.deliver(tcp_packet(port, Tins::TCP::ACK | Tins::TCP::PSH, "request")) == owner);
    }
    const auto owner = path.deliver(udp_packet(3000));
    REQUIRE(owner);
    CHECK(path.deliver(udp_packet(3000)) == owner);
}

// Without a reset, a caller would wait endlessly on a connection that no upstream has. The first segment gets no
// answer, because the agents may not have received a change yet that names the member with the flow.
TEST_CASE("a repeated segment of an unknown flow is answered with a reset")
{
    packet_path path(3);
    path.publish_to_balancer({1, 5});
    path.publish_to_agents({1, 5}, false);
    path.start();
    send(*path.caller, tcp_packet(2000, Tins::TCP::ACK, "request"), path.forwarder->local());
    CHECK_FALSE(receive(*path.caller, routing::failed_searches::confirmation_delay + 100ms));
    send(*path.caller, tcp_packet(2000, Tins::TCP::ACK, "request"), path.forwarder->local());
    const auto answer = receive(*path.caller, 5s);
    REQUIRE(answer);
    const Tins::IP ip(
        reinterpret_cast<const std::uint8_t*>(answer->data()), static_cast<std::uint32_t>(answer->size()));
    CHECK(ip.dst_addr() == Tins::IPv4Address("10.9.9.9"));
    CHECK(ip.src_addr() == Tins::IPv4Address("10.1.1.1"));
    const auto& tcp = ip.rfind_pdu<Tins::TCP>();
    CHECK(tcp.flags() == Tins::TCP::RST);
    CHECK(tcp.sport() == service_port);
    CHECK(tcp.dport() == 2000);
}

// Traffic must not continue into a failure domain after operators have taken it out of service.
TEST_CASE("an agent in a failure domain that is out delivers nothing and sends resets")
{
    packet_path path(1);
    path.publish_to_balancer({1, 5});
    path.publish_to_agents({1, 5}, true);
    path.start();
    send(*path.caller, tcp_packet(2000, Tins::TCP::SYN, ""), path.forwarder->local());
    CHECK(receive(*path.caller, 5s));
    CHECK_FALSE(receive(*path.hosts[0]->upstream, 50ms));
}

// Without the notice, a balancer would continue to use an old table although agents have a newer one.
TEST_CASE("a version notice of an agent reaches the balancer's control thread")
{
    packet_path path(1);
    path.publish_to_balancer({1, 5});
    path.publish_to_agents({1, 6}, false);
    path.start();
    REQUIRE(path.deliver(udp_packet(3000)));
    REQUIRE(path.run_until([&path] { return !path.newer_versions.empty(); }));
    CHECK(path.newer_versions.front() == core::version{1, 6});
}

// The balancer probes the candidates of a retransmitted SYN. If the SYN were not reported, an unreachable agent would
// never be probed.
TEST_CASE("a retransmitted SYN reaches the balancer's control thread with its candidates")
{
    packet_path path(2);
    path.format->syn_retransmissions_ = 1;
    path.publish_to_balancer({1, 5});
    path.publish_to_agents({1, 5}, false);
    path.start();
    REQUIRE(path.deliver(tcp_packet(2000, Tins::TCP::SYN, "")));
    REQUIRE(path.run_until([&path] { return !path.retransmitted_syn_candidates.empty(); }));
    CHECK(path.retransmitted_syn_candidates.front().size() == 2);
}

// A reachable agent that did not answer a probe would count as unreachable.
TEST_CASE("an agent answers a probe with the id of its upstream")
{
    packet_path path(1);
    path.publish_to_agents({1, 6}, false);
    path.start();
    const auto probe = routing::wire::encode_probe_datagram({1, 6}, path.caller->local());
    send(*path.caller, probe, path.hosts[0]->agent->local());
    const auto answer = receive(*path.caller, 5s);
    REQUIRE(answer);
    const auto parts = routing::wire::split_datagram(*answer);
    REQUIRE(parts.kind == routing::wire::datagram_kind::notice);
    const routing::version_notice expected{{1, 6}, path.hosts[0]->id};
    CHECK(routing::wire::decode_version_notice(parts.message) == expected);
}

// Without the notice, balancers would send SYNs to an agent between its planned stop and its next start.
TEST_CASE("an agent that stops notifies the balancers that have sent packets")
{
    packet_path path(1);
    path.publish_to_agents({1, 6}, false);
    path.start();
    const auto header = routing::wire::encode_origin({1, 6}, path.caller->local());
    const auto datagram = routing::wire::encode_length(header.size()) + header + udp_packet(3000);
    send(*path.caller, datagram, path.hosts[0]->agent->local());
    REQUIRE(path.run_until([&] { return path.hosts[0]->counters.find("agent_dropped_foreign").value() > 0; }));
    path.hosts[0]->agent->stop();
    const auto notice = receive(*path.caller, 5s);
    REQUIRE(notice);
    const routing::version_notice expected{{1, 6}, path.hosts[0]->id, true};
    CHECK(routing::wire::decode_version_notice(routing::wire::split_datagram(*notice).message) == expected);
}

/// Returns how many datagrams arrive at the socket before it stays empty for `silence`.
std::size_t count_datagrams(transport::datagram_socket& from, std::chrono::milliseconds silence)
{
    std::size_t result = 0;
    while (receive(from, silence))
        ++result;
    return result;
}

// A process that stops under load has requests in the buffers of its sockets, which it has accepted. They must not be
// lost: the callers would learn of it only when their time is over.
TEST_CASE("packets that have arrived before a planned stop are handled")
{
    constexpr std::size_t packets = 200;
    packet_path path(1);
    path.publish_to_balancer({1, 5});
    path.publish_to_agents({1, 5}, false);
    for (std::uint16_t i = 0; i < packets; ++i)
        send(*path.caller, udp_packet(static_cast<std::uint16_t>(3000 + i)), path.forwarder->local());
    path.forwarder->start();
    path.forwarder->stop();
    path.hosts[0]->agent->start();
    path.hosts[0]->agent->stop();
    CHECK(count_datagrams(*path.hosts[0]->upstream, 100ms) == packets);
}

// A balancer that was paused for seconds reads the SYNs of callers who have given up. Their flows would take the slots
// of upstreams, and callers who are present would be refused.
TEST_CASE("a balancer that was paused drops the SYNs that waited and forwards all later ones")
{
    packet_path path(1);
    path.format->answer_wait_ = 200ms;
    path.publish_to_balancer({1, 5});
    path.publish_to_agents({1, 5}, false);
    path.start();
    REQUIRE(path.deliver(tcp_packet(2000, Tins::TCP::SYN, "")));
    path.balancer_socket->pause();
    for (std::uint16_t i = 1; i <= 20; ++i)
        send(*path.caller, tcp_packet(static_cast<std::uint16_t>(2000 + i), Tins::TCP::SYN, ""),
            path.forwarder->local());
    std::this_thread::sleep_for(700ms);
    path.balancer_socket->resume();
    REQUIRE(path.run_until([&] { return path.balancer_counters.find("forwarder_dropped_outdated").value() == 20; }));
    CHECK(path.balancer_counters.find("forwarder_stalls").value() == 1);
    CHECK(path.deliver(tcp_packet(4000, Tins::TCP::SYN, "")));
}

// If an agent ignored the table version in packets, it would miss an update that balancers already have.
TEST_CASE("a newer table version in a packet reaches the agent's control thread")
{
    packet_path path(1);
    path.publish_to_balancer({2, 1});
    path.publish_to_agents({1, 6}, false);
    path.start();
    REQUIRE(path.deliver(udp_packet(3000)));
    REQUIRE(path.run_until([&path] { return !path.hosts[0]->newer_versions.empty(); }));
    CHECK(path.hosts[0]->newer_versions.front() == core::version{2, 1});
}

// An unexpected datagram could end the packet thread or block it.
TEST_CASE("malformed datagrams are counted and do not stop the packet path")
{
    packet_path path(1);
    path.publish_to_balancer({1, 5});
    path.publish_to_agents({1, 5}, false);
    path.start();
    const std::vector<std::string> malformed{"", "x", std::string(2, '\0'), '\0' + std::string("\tshort"),
        "E" + std::string(10, '\0'), "O" + std::string(70, '\xff'), std::string(2000, '\xff'),
        tcp_packet(1, 2, "").substr(0, 30)};
    for (const auto& it : malformed) {
        send(*path.caller, it, path.forwarder->local());
        send(*path.caller, it, path.hosts[0]->agent->local());
    }
    CHECK(path.deliver(udp_packet(3000)));
    CHECK(path.balancer_counters.find("forwarder_dropped_malformed").value() > 0);
    CHECK(path.hosts[0]->counters.find("agent_dropped_malformed").value() > 0);
}
