// Measures a control group of real processes on loopback and prints one line of JSON:
//
//   control_group [MEMBERS] [CHANGES] [FAILOVERS]
//
// First sends CHANGES profile edits one after the other, and measures their latency and, per change, the log syncs, log
// bytes, bytes between control processes and CPU time of the leader and of a follower. Then kills the leader FAILOVERS
// times, and measures the time from the kill until another process reports that it is the leader and has the complete
// state.
#include "ibisdyke/testing/control_cluster.h"

#include <QDir>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <unistd.h>
#include <vector>

namespace {

using ibisdyke::testing::control_cluster;

double quantile(std::vector<double> samples, double q)
{
    std::sort(samples.begin(), samples.end());
    return samples.at(static_cast<std::size_t>(q * static_cast<double>(samples.size() - 1)));
}

/// Returns the CPU time that a process has used, in milliseconds.
double cpu_ms(control_cluster& cluster, int id)
{
    QFile file(QString("/proc/%1/stat").arg(cluster.process(id).processId()));
    file.open(QIODevice::ReadOnly);
    const auto content = file.readAll();
    const auto fields = content.mid(content.lastIndexOf(')') + 2).split(' ');
    constexpr int user_field = 11;
    const auto ticks = fields.at(user_field).toDouble() + fields.at(user_field + 1).toDouble();
    return ticks * 1000 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

struct usage {
    double cpu = 0;
    double syncs = 0;
    double sent_bytes = 0;
    double received_bytes = 0;
    double log_bytes = 0;
};

usage usage_of(control_cluster& cluster, int id)
{
    const auto state = cluster.state(id);
    const auto traffic = state["control_traffic"].toObject();
    return {cpu_ms(cluster, id), state["metrics"].toObject()["counters"].toObject()["log_syncs"].toDouble(),
        traffic["sent_bytes"].toDouble(), traffic["received_bytes"].toDouble(),
        static_cast<double>(QFileInfo(cluster.data(id) + "/log").size())};
}

QJsonObject per_change(const usage& before, const usage& after, int changes)
{
    return {{"cpu_ms", (after.cpu - before.cpu) / changes}, {"log_syncs", (after.syncs - before.syncs) / changes},
        {"log_bytes", (after.log_bytes - before.log_bytes) / changes},
        {"sent_bytes", (after.sent_bytes - before.sent_bytes) / changes},
        {"received_bytes", (after.received_bytes - before.received_bytes) / changes}};
}

int follower_of(int id)
{
    return id == 1 ? 2 : 1;
}

QJsonObject measure_idle(control_cluster& cluster, int id)
{
    constexpr int idle_ms = 2000;
    const auto before = usage_of(cluster, id);
    control_cluster::wait_until([] { return false; }, idle_ms);
    const auto after = usage_of(cluster, id);
    return {{"cpu_percent", (after.cpu - before.cpu) * 100 / idle_ms},
        {"sent_bytes_per_s", (after.sent_bytes - before.sent_bytes) * 1000 / idle_ms},
        {"received_bytes_per_s", (after.received_bytes - before.received_bytes) * 1000 / idle_ms}};
}

QJsonObject measure_changes(control_cluster& cluster, int changes)
{
    const auto leader = cluster.wait_for_leader();
    const auto follower = follower_of(leader);
    const auto leader_before = usage_of(cluster, leader);
    const auto follower_before = usage_of(cluster, follower);
    std::vector<double> latencies;
    QElapsedTimer total;
    total.start();
    for (int i = 0; i < changes; ++i) {
        QElapsedTimer timer;
        timer.start();
        const auto response = cluster.send(leader, "PUT", "/v1/profiles/gold",
            control_cluster::profile_command("gold", i, QString("change-%1").arg(i), i % 9));
        constexpr int status_ok = 200;
        if (response.status != status_ok)
            throw std::runtime_error("change " + std::to_string(i) + " got status " + std::to_string(response.status));
        latencies.push_back(static_cast<double>(timer.nsecsElapsed()) / 1e6);
    }
    const auto seconds = static_cast<double>(total.elapsed()) / 1000;
    return {{"changes", changes}, {"changes_per_s", changes / seconds}, {"p50_ms", quantile(latencies, 0.5)},
        {"p99_ms", quantile(latencies, 0.99)},
        {"leader", per_change(leader_before, usage_of(cluster, leader), changes)},
        {"follower", per_change(follower_before, usage_of(cluster, follower), changes)},
        {"sync_ms", cluster.state(leader)["metrics"].toObject()["distributions"].toObject()["log_sync_ms"].toObject()}};
}

QJsonObject measure_failovers(control_cluster& cluster, int rounds)
{
    std::vector<double> times;
    for (int i = 0; i < rounds; ++i) {
        const auto leader = cluster.wait_for_leader();
        QElapsedTimer timer;
        timer.start();
        cluster.kill(leader);
        if (cluster.wait_for_leader() == 0)
            throw std::runtime_error("no new leader");
        times.push_back(static_cast<double>(timer.nsecsElapsed()) / 1e6);
        cluster.start(leader);
        constexpr int rejoin_ms = 500;
        control_cluster::wait_until([] { return false; }, rejoin_ms);
    }
    return {{"rounds", rounds}, {"p50_ms", quantile(times, 0.5)}, {"p99_ms", quantile(times, 0.99)},
        {"max_ms", quantile(times, 1)}};
}

int argument(int argc, char** argv, int index, int default_value)
{
    return argc > index ? std::atoi(argv[index]) : default_value;
}

} // namespace

int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    const auto members = argument(argc, argv, 1, 3);
    try {
        control_cluster cluster(members);
        // Without snapshots the log stays in one file, whose growth is the number of log bytes per change.
        cluster.set_arguments({"--snapshot-entries", "1000000"});
        cluster.start_all();
        const auto leader = cluster.wait_for_leader();
        control_cluster::wait_until([&] { return cluster.send(leader, "GET", "/v1/profiles").status == 200; }, 5000);
        QJsonObject result{{"benchmark", "control_group"}, {"members", members}};
        result.insert("idle_leader", measure_idle(cluster, leader));
        result.insert("idle_follower", measure_idle(cluster, follower_of(leader)));
        result.insert("change", measure_changes(cluster, argument(argc, argv, 2, 500)));
        result.insert("failover", measure_failovers(cluster, argument(argc, argv, 3, 20)));
        std::cout << QJsonDocument(result).toJson(QJsonDocument::Compact).toStdString() << '\n';
    } catch (const std::exception& e) {
        std::cerr << e.what() << '\n';
        return 1;
    }
    return 0;
}
