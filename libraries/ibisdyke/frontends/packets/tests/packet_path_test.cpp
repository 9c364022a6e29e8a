#include "packet_path_fixture.h"

using namespace ibisdyke;
using namespace ibisdyke::frontends::testing;

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
