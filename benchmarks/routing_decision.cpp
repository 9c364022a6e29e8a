// Measures the balancer's routing decision at the design size (1,200 services, 9,300 upstreams): nanoseconds per
// decision from a flow key and from the bytes of a packet, memory of the tables, and the time to rebuild the tables
// after a change of one host. Prints one line of JSON. Flows are processed in random order, so that the tables do not
// stay in the processor's caches.

#include "design_size.h"
#include "ibisdyke/frontends/packets/forwarding_snapshot.h"
#include "ibisdyke/frontends/packets/ip_packet_format.h"
#include "ibisdyke/routing/chain_router.h"
#include "processor_time.h"
#include "statistics.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <functional>
#include <iostream>
#include <random>
#include <string>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>
#include <vector>

namespace {

using namespace ibisdyke;
using clock_type = std::chrono::steady_clock;

constexpr std::size_t flow_count = 100'000;
constexpr int repetitions = 7;

std::vector<routing::packet_info> make_flows()
{
    std::mt19937 random(1);
    std::vector<routing::packet_info> result(flow_count);
    for (auto& it : result) {
        it.flow.source_address = static_cast<std::uint32_t>(random());
        it.flow.source_port = static_cast<std::uint16_t>(random());
        it.flow.destination_address = benchmarks::service_address(random() % benchmarks::design_services);
        it.flow.destination_port = 443;
        it.kind = routing::packet_kind::segment;
        it.size_bytes = 140;
    }
    return result;
}

std::string to_packet(const routing::packet_info& it)
{
    auto ip = Tins::IP(Tins::IPv4Address(core::address_to_string(it.flow.destination_address)),
                  Tins::IPv4Address(core::address_to_string(it.flow.source_address)))
        / Tins::TCP(it.flow.destination_port, it.flow.source_port) / Tins::RawPDU(std::string(88, 'x'));
    auto& tcp = ip.rfind_pdu<Tins::TCP>();
    tcp.flags(Tins::TCP::ACK);
    // Common systems send the timestamp option in nearly every segment.
    tcp.timestamp(1, 2);
    const auto bytes = ip.serialize();
    return {bytes.begin(), bytes.end()};
}

/// Returns the processor time of this thread, which does not include other work on the machine.
std::chrono::nanoseconds thread_time()
{
    return benchmarks::processor_time(CLOCK_THREAD_CPUTIME_ID);
}

/// Returns the mean processor time of a call in nanoseconds, as the median over several repetitions.
double measure(const std::function<std::size_t()>& run_all)
{
    std::vector<double> results;
    std::size_t sum = 0;
    for (int i = 0; i < repetitions; ++i) {
        const auto begin = thread_time();
        sum += run_all();
        const std::chrono::duration<double, std::nano> elapsed = thread_time() - begin;
        results.push_back(elapsed.count() / flow_count);
    }
    // The results are used, so that the compiler cannot remove the work.
    if (sum == 0)
        std::cerr << "no packet was routed\n";
    return benchmarks::median(std::move(results));
}

double milliseconds_since(std::chrono::nanoseconds begin)
{
    return std::chrono::duration<double, std::milli>(thread_time() - begin).count();
}

} // namespace

int main()
{
    auto services = benchmarks::design_size();
    const core::version first{1, 30'000};
    auto begin = thread_time();
    const auto chains = routing::routing_table::create(first, services, nullptr);
    const auto snapshot = frontends::forwarding_snapshot::create(chains, nullptr, clock_type::now());
    const auto build_ms = milliseconds_since(begin);

    services[600].members[3].eligible = false;
    services[600].members[3].history.back().to = core::version{1, 30'001};
    begin = thread_time();
    const auto changed = routing::routing_table::create({1, 30'001}, services, chains);
    const auto next = frontends::forwarding_snapshot::create(changed, snapshot, clock_type::now());
    const auto rebuild_ms = milliseconds_since(begin);

    const auto flows = make_flows();
    std::vector<std::string> packets;
    packets.reserve(flows.size());
    for (const auto& it : flows)
        packets.push_back(to_packet(it));
    const frontends::ip_packet_format format({});
    routing::chain_router router;
    router.set_table(next->table);
    const core::time_point now = clock_type::now();
    const auto decision_ns = measure([&] {
        std::size_t sum = 0;
        for (const auto& it : flows)
            sum += router.select(it, now)->destination.port;
        return sum;
    });
    const auto parse_ns = measure([&] {
        std::size_t sum = 0;
        for (const auto& it : packets)
            sum += format.parse(it).info.flow.destination_port;
        return sum;
    });
    const auto parse_and_decision_ns = measure([&] {
        // Processes packets in batches, as the forwarder does.
        constexpr std::size_t batch_size = 64;
        std::vector<routing::packet_info> batch;
        batch.reserve(batch_size);
        std::size_t sum = 0;
        for (std::size_t i = 0; i < packets.size(); i += batch_size) {
            batch.clear();
            for (std::size_t n = i; n < std::min(i + batch_size, packets.size()); ++n)
                batch.push_back(format.parse(packets[n]).info);
            for (const auto& it : batch)
                sum += router.select(it, now)->destination.port;
        }
        return sum;
    });
    const QJsonObject report{
        {"benchmark", "routing_decision"},
        {"services", static_cast<int>(benchmarks::design_services)},
        {"upstreams", static_cast<int>(benchmarks::design_upstreams)},
        {"decision_ns", decision_ns},
        {"parse_ns", parse_ns},
        {"parse_and_decision_ns", parse_and_decision_ns},
        {"chains_bytes", static_cast<qint64>(changed->size_bytes())},
        {"headers_bytes", static_cast<qint64>(next->headers->size_bytes())},
        {"build_ms", build_ms},
        {"rebuild_one_host_ms", rebuild_ms},
    };
    std::cout << QJsonDocument(report).toJson(QJsonDocument::Compact).toStdString() << '\n';
}
