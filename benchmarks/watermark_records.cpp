// Counts the log records of the membership slice at the design size: 9,300 agents in 1,200 services. On 3,200 occasions
// a day an agent is silent for longer than its lease, which makes two records each. The oldest flow of each agent has a
// different age of up to 1 h, so that the agents' watermarks pass a change one by one. Runs the lease table in virtual
// time for 2 h and counts the records of the second hour. Heartbeat interval and lease (20 s and 60 s) are longer than
// in the product, to limit the run time. Prints one line of JSON with the records scaled to a day.

#include "ibisdyke/membership/lease_table.h"
#include "ibisdyke/membership/wire/codec.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <random>
#include <utility>
#include <vector>

namespace {

using namespace ibisdyke;
using namespace std::chrono_literals;

constexpr std::size_t agents = 9'300;
constexpr std::size_t services = 1'200;
constexpr double outages_per_day = 3'200;
constexpr int seconds_per_day = 86'400;
constexpr int warm_up_seconds = 3'600;
constexpr int end_seconds = 7'200;
constexpr int heartbeat_seconds = 20;
constexpr int outage_seconds = 90;
constexpr int max_flow_age_seconds = 3'600;
constexpr int watermark_lag_seconds = 10;

struct agent {
    membership::heartbeat beat;
    int flow_age_seconds = 0;
    int silent_until = 0;
};

struct counts {
    std::size_t records = 0;
    std::size_t only_watermarks = 0;
    std::size_t with_watermarks = 0;
    std::size_t watermarks = 0;
    std::size_t bytes = 0;
};

class simulation {
public:
    simulation()
        : leases_(limits(), now_)
    {
        auto configuration = std::make_shared<configuration::configuration_state>();
        for (std::size_t i = 0; i < services; ++i) {
            const core::service_id id(i + 1);
            configuration->services[id] = {id, "service-" + std::to_string(i), "", {}};
        }
        configuration_ = configuration;
        update();
        for (std::size_t i = 0; i < agents; ++i) {
            agent it;
            it.beat.sender = core::incarnation(i + 1);
            it.beat.name = "agent-" + std::to_string(i);
            it.beat.service = "service-" + std::to_string(i % services);
            it.beat.packet_endpoint = {static_cast<std::uint32_t>(i + 1), 7000};
            it.beat.request_endpoint = {static_cast<std::uint32_t>(i + 1), 7001};
            it.beat.slots = 5;
            it.flow_age_seconds =
                std::uniform_int_distribution<int>(watermark_lag_seconds, max_flow_age_seconds)(random_);
            agents_.push_back(it);
        }
    }

    QJsonObject run()
    {
        std::bernoulli_distribution outage(outages_per_day / seconds_per_day);
        for (second_ = 0; second_ < end_seconds; ++second_) {
            now_ += 1s;
            versions_.push_back(version_);
            if (outage(random_))
                agents_[random_() % agents].silent_until = second_ + outage_seconds;
            for (auto i = static_cast<std::size_t>(second_ % heartbeat_seconds); i < agents; i += heartbeat_seconds)
                send(agents_[i]);
            leases_.tick(now_);
            commit();
        }
        const double scale = static_cast<double>(seconds_per_day) / (end_seconds - warm_up_seconds);
        const auto daily = [scale](std::size_t n) { return static_cast<double>(n) * scale; };
        return {{"benchmark", "watermark_records"}, {"records_per_day", daily(counts_.records)},
            {"only_watermarks_per_day", daily(counts_.only_watermarks)},
            {"with_watermarks_per_day", daily(counts_.with_watermarks)},
            {"watermarks_per_day", daily(counts_.watermarks)}, {"bytes_per_day", daily(counts_.bytes)}};
    }

private:
    static membership::lease_limits limits()
    {
        membership::lease_limits result;
        result.lease_duration = 60s;
        result.grace_period = 90s;
        result.pause_threshold = 2s;
        return result;
    }

    void send(agent& it)
    {
        if (second_ < it.silent_until)
            return;
        ++it.beat.sequence;
        const auto began = std::max(0, second_ - it.flow_age_seconds);
        it.beat.flow_watermark = versions_[static_cast<std::size_t>(began)];
        leases_.on_heartbeat(it.beat, now_);
    }

    void update() { leases_.update(configuration_, state_, version_, now_); }

    void commit()
    {
        const auto change = leases_.propose(now_, core::wall_time(core::milliseconds(second_ * 1000)));
        if (!change)
            return;
        if (second_ >= warm_up_seconds)
            count(*change);
        ++version_.index;
        state_ = std::make_shared<const membership::membership_state>(membership::apply(*state_, *change, version_));
        update();
    }

    void count(const membership::membership_change& change)
    {
        const auto has_watermark = [](const auto& it) { return it.flow_watermark != core::version{}; };
        const auto n =
            static_cast<std::size_t>(std::count_if(change.updates.begin(), change.updates.end(), has_watermark));
        const bool other = !change.joins.empty() || !change.forgotten.empty()
            || std::any_of(change.updates.begin(), change.updates.end(),
                [&](const auto& it) { return state_->upstreams.at(it.id).state != it.state; });
        ++counts_.records;
        counts_.only_watermarks += other ? 0 : 1;
        counts_.with_watermarks += n > 0 ? 1 : 0;
        counts_.watermarks += n;
        counts_.bytes += membership::wire::encode(change).size();
    }

    core::time_point now_{24h};
    int second_ = 0;
    std::mt19937 random_{1};
    membership::lease_table leases_;
    std::shared_ptr<const configuration::configuration_state> configuration_;
    std::shared_ptr<const membership::membership_state> state_ = std::make_shared<const membership::membership_state>();
    core::version version_{1, 1};
    /// The version of the system state at each second.
    std::vector<core::version> versions_;
    std::vector<agent> agents_;
    counts counts_;
};

} // namespace

int main()
{
    std::cout << QJsonDocument(simulation().run()).toJson(QJsonDocument::Compact).toStdString() << '\n';
}
