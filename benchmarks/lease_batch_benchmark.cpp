// Measures the lease batches at the design size: 8 followers with 9,300 agents and 1,400 balancers in total. The share
// of processes given as the first argument (default 0) reports a changed number of open flows in each batch. Prints one
// line of JSON.

#include "design_size.h"

#include "ibisdyke/membership/follower_table.h"
#include "ibisdyke/membership/sender_table.h"
#include "ibisdyke/membership/wire/codec.h"
#include "processor_time.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <chrono>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace ibisdyke;
using namespace ibisdyke::membership;
using namespace std::chrono_literals;

constexpr std::size_t balancers = 1400;
constexpr std::size_t follower_count = 8;
constexpr int rounds = 20;

double read_cpu_ms()
{
    const auto it = benchmarks::processor_time(CLOCK_PROCESS_CPUTIME_ID);
    return std::chrono::duration<double, std::milli>(it).count();
}

heartbeat create_heartbeat(std::size_t n)
{
    heartbeat it;
    it.sender_role = n < benchmarks::design_upstreams ? process_role::agent : process_role::balancer;
    it.sender = core::incarnation(n + 1);
    it.name = "process-" + std::to_string(n);
    it.domain = core::failure_domain("domain-" + std::to_string(n % 10));
    it.applied = {1, 30'000};
    if (it.sender_role == process_role::agent) {
        it.service = "service-" + std::to_string(n % benchmarks::design_services);
        it.packet_endpoint = {0x0b000000U + static_cast<std::uint32_t>(n), 7000};
        it.request_endpoint = {0x0b000000U + static_cast<std::uint32_t>(n), 7001};
    }
    return it;
}

std::shared_ptr<const configuration::configuration_state> create_configuration()
{
    auto result = std::make_shared<configuration::configuration_state>();
    for (std::size_t i = 0; i < benchmarks::design_services; ++i) {
        const core::service_id id(100 + i);
        result->services.emplace(id, configuration::service{id, "service-" + std::to_string(i), "standard", {}});
    }
    return result;
}

/// Sums over all batches of a round.
struct costs {
    double heartbeat_ms = 0;
    double make_ms = 0;
    double leader_ms = 0;
    std::size_t batch_bytes = 0;
    std::size_t answer_bytes = 0;
};

} // namespace

int main(int argc, char** argv)
{
    const double share = argc > 1 ? std::strtod(argv[1], nullptr) : 0;
    const auto configuration = create_configuration();
    core::time_point now(1000s);
    lease_table leases({}, now);
    leases.update(configuration, std::make_shared<const membership_state>(), {1, 30'000}, now);
    follower_table lists({}, now);
    std::vector<sender_table> followers;
    for (std::size_t i = 0; i < follower_count; ++i)
        followers.emplace_back(core::incarnation(100'000 + i), sender_limits{}, now);
    std::vector<heartbeat> heartbeats;
    for (std::size_t i = 0; i < benchmarks::design_upstreams + balancers; ++i)
        heartbeats.push_back(create_heartbeat(i));
    const auto run_round = [&](double changing) {
        costs result;
        now += 500ms;
        auto begin = read_cpu_ms();
        for (std::size_t i = 0; i < heartbeats.size(); ++i) {
            ++heartbeats[i].sequence;
            if (static_cast<double>(i) < changing * static_cast<double>(heartbeats.size()))
                ++heartbeats[i].open_flows;
            followers[i % follower_count].on_heartbeat(heartbeats[i], now);
        }
        result.heartbeat_ms = read_cpu_ms() - begin;
        for (auto& it : followers) {
            begin = read_cpu_ms();
            const auto batch = it.make_batch(now);
            const auto bytes = wire::encode(batch);
            result.make_ms += read_cpu_ms() - begin;
            result.batch_bytes += bytes.size();
            begin = read_cpu_ms();
            const auto answer = wire::encode(lists.on_batch(wire::decode_lease_batch(bytes), leases, now));
            result.leader_ms += read_cpu_ms() - begin;
            result.answer_bytes += answer.size();
            it.on_answer(batch.number, wire::decode_lease_batch_answer(answer), now);
        }
        leases.tick(now);
        return result;
    };
    // The followers get their stamps with the answers to the first batches, and send complete lists in the second ones.
    run_round(0);
    const auto complete = run_round(0);
    costs sum;
    for (int i = 0; i < rounds; ++i) {
        const auto it = run_round(share);
        sum.heartbeat_ms += it.heartbeat_ms / rounds;
        sum.make_ms += it.make_ms / rounds;
        sum.leader_ms += it.leader_ms / rounds;
        sum.batch_bytes += it.batch_bytes / rounds;
        sum.answer_bytes += it.answer_bytes / rounds;
    }
    const QJsonObject result{{"benchmark", "lease_batch"}, {"changing_share", share},
        {"live", static_cast<qint64>(leases.processes(now).size())},
        {"complete_bytes_of_8_batches", static_cast<qint64>(complete.batch_bytes)},
        {"complete_leader_ms", complete.leader_ms}, {"bytes_of_8_batches", static_cast<qint64>(sum.batch_bytes)},
        {"bytes_of_8_answers", static_cast<qint64>(sum.answer_bytes)}, {"leader_ms_for_8_batches", sum.leader_ms},
        {"followers_ms_for_8_batches", sum.make_ms}, {"followers_ms_for_10700_heartbeats", sum.heartbeat_ms}};
    std::cout << QJsonDocument(result).toJson(QJsonDocument::Compact).toStdString() << '\n';
    return 0;
}
