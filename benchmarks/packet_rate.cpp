// Measures the packet rate of the forwarder at the design size and, in the same run, of a relay that calls only recv
// and sendto on rate_of_round thread. Prints rate_of_round line of JSON with the ratio of the two. The main thread
// sends 140-byte packets, and a sink thread counts the packets that the forwarder or the relay passes on. The ratio is
// that of packets per second of processor time, so that other work on the machine does not affect it.

#include "design_size.h"
#include "ibisdyke/frontends/packets/ip_packet_format.h"
#include "ibisdyke/frontends/packets/packet_forwarder.h"
#include "ibisdyke/routing/chain_router.h"
#include "ibisdyke/transport/udp_socket.h"
#include "processor_time.h"
#include "statistics.h"

#include <QCoreApplication>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <ctime>
#include <iostream>
#include <memory>
#include <netinet/in.h>
#include <pthread.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>
#include <unistd.h>
#include <vector>

namespace {

using namespace ibisdyke;
using namespace std::chrono_literals;

constexpr std::uint32_t loopback = 0x7f000001;
constexpr std::size_t packet_count = 4'096;
constexpr auto measure_time = 1s;
constexpr int rounds = 5;

std::vector<std::string> make_packets()
{
    std::vector<std::string> result;
    result.reserve(packet_count);
    for (std::size_t i = 0; i < packet_count; ++i) {
        const auto service = benchmarks::service_address(i * 7 % benchmarks::design_services);
        auto ip = Tins::IP(Tins::IPv4Address(core::address_to_string(service)), "12.1.2.3")
            / Tins::TCP(443, static_cast<std::uint16_t>(1024 + i)) / Tins::RawPDU(std::string(88, 'x'));
        auto& tcp = ip.rfind_pdu<Tins::TCP>();
        tcp.flags(Tins::TCP::ACK);
        tcp.timestamp(1, 2);
        const auto bytes = ip.serialize();
        result.emplace_back(bytes.begin(), bytes.end());
    }
    return result;
}

sockaddr_in to_native(const core::endpoint& it)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(it.address);
    result.sin_port = htons(it.port);
    return result;
}

/// The baseline for the forwarder. Relays rate_of_round datagram per system call without processing it.
class bare_relay {
public:
    explicit bare_relay(const core::endpoint& to)
        : to_(to_native(to))
        , socket_(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
    {
        auto address = to_native({loopback, 0});
        if (bind(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
            throw std::runtime_error("cannot bind the relay's socket");
        socklen_t size = sizeof(address);
        getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
        local_ = {loopback, ntohs(address.sin_port)};
        const int buffer_bytes = 4 * 1024 * 1024;
        setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
        // With a timeout the thread regularly checks whether it must stop.
        const timeval timeout{0, 100'000};
        setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
        thread_ = std::thread([this] { run(); });
    }

    ~bare_relay()
    {
        stopping_ = true;
        thread_.join();
        close(socket_);
    }

    bare_relay(const bare_relay&) = delete;
    bare_relay& operator=(const bare_relay&) = delete;
    bare_relay(bare_relay&&) = delete;
    bare_relay& operator=(bare_relay&&) = delete;

    core::endpoint local() const { return local_; }

private:
    void run()
    {
        std::array<char, transport::max_datagram_bytes> buf{};
        while (!stopping_) {
            const auto n = recv(socket_, buf.data(), buf.size(), 0);
            if (n > 0)
                sendto(socket_, buf.data(), static_cast<std::size_t>(n), 0, reinterpret_cast<const sockaddr*>(&to_),
                    sizeof(to_));
        }
    }

    sockaddr_in to_;
    int socket_;
    core::endpoint local_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

double processor_seconds(clockid_t clock)
{
    return std::chrono::duration<double>(benchmarks::processor_time(clock)).count();
}

/// Counts the datagrams that arrive at its socket.
class sink {
public:
    sink()
        : thread_([this] { run(); })
    {
        pthread_getcpuclockid(thread_.native_handle(), &clock_);
    }

    ~sink()
    {
        stopping_ = true;
        socket_->wake();
        thread_.join();
    }

    sink(const sink&) = delete;
    sink& operator=(const sink&) = delete;
    sink(sink&&) = delete;
    sink& operator=(sink&&) = delete;

    core::endpoint local() const { return socket_->local(); }
    std::uint64_t count() const { return count_; }
    double processor_time() const { return processor_seconds(clock_); }

private:
    void run()
    {
        transport::datagram_batch batch(64);
        while (!stopping_) {
            socket_->wait(100ms);
            while (!stopping_ && socket_->receive(batch) > 0)
                count_ += batch.size();
        }
    }

    std::unique_ptr<transport::udp_socket> socket_ =
        transport::udp_socket::create({loopback, 0}, transport::address_sharing::exclusive);
    std::atomic<std::uint64_t> count_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
    clockid_t clock_{};
};

struct rate {
    double per_second = 0;
    /// Packets per second of processor time of the forwarder or relay.
    double per_processor_second = 0;
};

/// Returns the processor time of the forwarder or relay, which is that of all threads except this rate_of_round and the
/// sink's.
double forwarding_time(const sink& end)
{
    return processor_seconds(CLOCK_PROCESS_CPUTIME_ID) - processor_seconds(CLOCK_THREAD_CPUTIME_ID)
        - end.processor_time();
}

/// Sends more packets than rate_of_round thread can forward, for measure_time, and returns the rate at which they
/// arrive.
rate measure_rate(const std::vector<std::string>& packets, const core::endpoint& to, const sink& end)
{
    const auto socket = transport::udp_socket::create({loopback, 0}, transport::address_sharing::exclusive);
    std::vector<transport::outgoing_datagram> batch;
    std::size_t next = 0;
    const auto send_until = [&](std::chrono::steady_clock::time_point deadline) {
        while (std::chrono::steady_clock::now() < deadline) {
            batch.clear();
            for (int i = 0; i < 64; ++i)
                batch.push_back({packets[next++ % packets.size()], to});
            socket->send(batch);
        }
    };
    send_until(std::chrono::steady_clock::now() + measure_time / 4);
    const auto begin = std::chrono::steady_clock::now();
    const auto count_before = end.count();
    const auto time_before = forwarding_time(end);
    send_until(begin + measure_time);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    const auto n = static_cast<double>(end.count() - count_before);
    return {n / elapsed.count(), n / (forwarding_time(end) - time_before)};
}

double median(const std::vector<rate>& rates, double rate::*value)
{
    std::vector<double> it;
    it.reserve(rates.size());
    for (const auto& rate_of_round : rates)
        it.push_back(rate_of_round.*value);
    return benchmarks::median(std::move(it));
}

} // namespace

int main(int argc, char** argv)
{
    const QCoreApplication application(argc, argv);
    const auto packets = make_packets();
    sink end;
    auto services = benchmarks::design_size();
    for (auto& service : services) {
        for (auto& it : service.members)
            it.target.packet_endpoint = end.local();
    }
    core::snapshot_publisher<frontends::forwarding_snapshot> tables;
    const auto chains = routing::routing_table::create({1, 30'000}, services, nullptr);
    tables.publish(frontends::forwarding_snapshot::create(chains, nullptr, std::chrono::steady_clock::now()));
    observability::counter_registry counters;
    QObject control;
    std::vector<rate> forwarded;
    std::vector<rate> relayed;
    for (int i = 0; i < rounds; ++i) {
        {
            frontends::packet_forwarder forwarder("forwarder",
                transport::udp_socket::create({loopback, 0}, transport::address_sharing::exclusive), std::nullopt,
                std::make_shared<const frontends::ip_packet_format>(core::endpoint{}),
                std::make_unique<routing::chain_router>(), tables, counters, control,
                frontends::packet_forwarder::callbacks{[](const auto&, const auto&) {}, {}});
            forwarder.start();
            forwarded.push_back(measure_rate(packets, forwarder.local(), end));
        }
        {
            const bare_relay relay(end.local());
            relayed.push_back(measure_rate(packets, relay.local(), end));
        }
    }
    const auto forwarder_rate = median(forwarded, &rate::per_processor_second);
    const auto relay_rate = median(relayed, &rate::per_processor_second);
    const QJsonObject report{
        {"benchmark", "packet_rate"},
        {"rounds", rounds},
        {"forwarder_packets_per_second", median(forwarded, &rate::per_second)},
        {"relay_packets_per_second", median(relayed, &rate::per_second)},
        {"forwarder_packets_per_processor_second", forwarder_rate},
        {"relay_packets_per_processor_second", relay_rate},
        {"ratio_per_processor_second", forwarder_rate / relay_rate},
    };
    std::cout << QJsonDocument(report).toJson(QJsonDocument::Compact).toStdString() << '\n';
}
