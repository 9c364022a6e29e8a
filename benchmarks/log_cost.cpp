// Measures the cost of logging in an agent, as processor time of the whole process: the time for a new flow (a SYN and
// four segments, including the decoding of their packet headers) with the log off and on, in alternating rounds, and
// the time for a line that is written. New flows arrive far faster than lines_per_second, as in a flood, so nearly all
// lines are suppressed. Prints one line of JSON to standard error; log lines go to standard output.

#include "ibisdyke/frontends/packets/flow_log.h"
#include "ibisdyke/observability/counter_registry.h"
#include "ibisdyke/observability/log.h"
#include "ibisdyke/routing/wire/codec.h"
#include "ibisdyke/testing/simulated_hosts.h"
#include "processor_time.h"
#include "statistics.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <chrono>
#include <ctime>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace ibisdyke;
using testing::simulated_hosts;

constexpr std::uint32_t flows = 20'000;
constexpr int segments = 4;
constexpr int rounds = 7;

enum class logging : std::uint8_t {
    off,
    on,
};

std::chrono::nanoseconds process_time()
{
    return benchmarks::processor_time(CLOCK_PROCESS_CPUTIME_ID);
}

/// Returns the processor time since `begin` divided by `n`, in nanoseconds.
double cost_since(std::chrono::nanoseconds begin, double n)
{
    return static_cast<double>((process_time() - begin).count()) / n;
}

/// Returns the processor time per flow in nanoseconds.
double flow_cost(logging mode)
{
    simulated_hosts hosts(3);
    hosts.update_agents();
    const auto id = hosts.members.front().target.id;
    auto& agent = *hosts.agents.at(id);
    const auto snapshot = hosts.snapshot_of(id);
    routing::packet_header first;
    first.table = hosts.table->at();
    first.service = simulated_hosts::service;
    first.candidates = 1;
    first.chain.push_back({id, hosts.members.front().target.packet_endpoint});
    const auto bytes = routing::wire::encode(first);
    const auto handle = [&](const routing::packet_info& packet) {
        const auto header = routing::wire::decode_packet_header(bytes);
        const auto decision = agent.decide(packet, header, snapshot, hosts.now);
        if (mode == logging::on)
            frontends::log_decision({packet, header, decision, snapshot, agent.load(hosts.now)});
    };
    const auto begin = process_time();
    for (std::uint32_t caller = 0; caller < flows; ++caller) {
        handle(simulated_hosts::packet(caller, routing::packet_kind::syn));
        for (int i = 0; i < segments; ++i)
            handle(simulated_hosts::packet(caller, routing::packet_kind::segment));
    }
    return cost_since(begin, flows);
}

/// Returns the processor time per written line in nanoseconds, including that of the writer thread.
double line_cost(observability::counter_registry& counters)
{
    observability::initialise_log("benchmark", counters);
    const auto begin = process_time();
    constexpr int events = 10;
    for (int event = 0; event < events; ++event) {
        const auto name = "measured_" + std::to_string(event);
        for (int i = 0; i < observability::lines_per_second; ++i)
            observability::write_log(observability::log_level::info, name,
                {{"flow", "10.0.0.1:1024>10.1.1.1:443"}, {"seq", i}, {"reason", "none"}, {"table", "3.120"},
                    {"accepts", true}, {"flows_per_s", 12.5}, {"open_flows", i}});
    }
    observability::finish_log();
    return cost_since(begin, events * observability::lines_per_second);
}

} // namespace

int main()
{
    observability::counter_registry counters;
    std::vector<double> off;
    std::vector<double> on;
    for (int i = 0; i < rounds; ++i) {
        off.push_back(flow_cost(logging::off));
        observability::initialise_log("benchmark", counters);
        on.push_back(flow_cost(logging::on));
        observability::finish_log();
    }
    const QJsonObject result{{"flow_ns_log_off", benchmarks::median(off)}, {"flow_ns_log_on", benchmarks::median(on)},
        {"written_line_ns", line_cost(counters)}};
    std::cerr << QJsonDocument(result).toJson(QJsonDocument::Compact).constData() << '\n';
}
