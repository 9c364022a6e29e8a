#pragma once

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

namespace ibisdyke::frontends::testing {

using namespace std::chrono_literals;

inline constexpr std::uint32_t loopback = 0x7f000001;
inline constexpr std::uint16_t service_port = 443;
inline const core::service_id service(7);

inline std::unique_ptr<transport::udp_socket> open_socket()
{
    return transport::udp_socket::create({loopback, 0}, transport::address_sharing::exclusive);
}

inline std::string tcp_packet(std::uint16_t source_port, int flags, const std::string& payload)
{
    auto ip = Tins::IP("10.1.1.1", "10.9.9.9") / Tins::TCP(service_port, source_port);
    ip.rfind_pdu<Tins::TCP>().flags(Tins::small_uint<12>(static_cast<std::uint16_t>(flags)));
    if (!payload.empty())
        ip /= Tins::RawPDU(payload);
    const auto bytes = ip.serialize();
    return {bytes.begin(), bytes.end()};
}

inline std::string udp_packet(std::uint16_t source_port)
{
    auto ip = Tins::IP("10.1.1.1", "10.9.9.9") / Tins::UDP(service_port, source_port) / Tins::RawPDU("hello");
    const auto bytes = ip.serialize();
    return {bytes.begin(), bytes.end()};
}

/// Returns the next datagram, or nothing if none arrives within the timeout.
inline std::optional<std::string> receive(transport::datagram_socket& from, std::chrono::milliseconds timeout)
{
    transport::datagram_batch batch(1);
    if (from.receive(batch) == 0) {
        from.wait(timeout);
        if (from.receive(batch) == 0)
            return std::nullopt;
    }
    return std::string(batch.bytes(0));
}

inline void send(transport::datagram_socket& from, const std::string& bytes, const core::endpoint& to)
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
            ibisdyke::testing::run_event_loop(std::chrono::milliseconds(5));
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

} // namespace ibisdyke::frontends::testing
