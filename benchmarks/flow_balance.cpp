// Measures how evenly the three routers distribute flows over 3, 7 and 11 hosts with 50 open flows per host: in the
// steady state, and after a failure domain has returned and as many new flows have begun as are open. Runs the decision
// code in virtual time, with 10 new flows per second and host and a heartbeat every 500 ms. Prints one line of JSON.

#include "ibisdyke/routing/chain_router.h"
#include "ibisdyke/routing/consistent_hash_router.h"
#include "ibisdyke/routing/flow_table_router.h"
#include "ibisdyke/testing/simulated_hosts.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QString>

#include <algorithm>
#include <chrono>
#include <functional>
#include <iostream>
#include <random>

namespace {

using namespace ibisdyke;
using testing::simulated_hosts;

constexpr std::size_t flows_per_host = 50;
constexpr std::size_t domains = 3;
constexpr std::size_t balancers = 4;
constexpr unsigned runs = 20;
constexpr std::chrono::milliseconds heartbeat_interval{500};

using router_factory = std::function<std::unique_ptr<routing::router>()>;

/// The flows of one service in virtual time.
class simulation {
public:
    /// With `agents_place` the agents decide which upstream gets a flow, otherwise the router does.
    simulation(std::size_t host_count, const router_factory& create, bool agents_place, unsigned seed)
        : hosts_(host_count)
        , agents_place_(agents_place)
        , random_(seed)
    {
        for (std::size_t i = 0; i < balancers; ++i)
            routers_.push_back(create());
        for (const auto& it : hosts_.members)
            counts_[it.target.id] = 0;
        update();
    }

    std::size_t target() const { return counts_.size() * flows_per_host; }

    /// Begins `n` flows. Once target() flows are open, each new flow replaces a random open flow.
    void churn(std::size_t n)
    {
        const auto step = std::chrono::nanoseconds(std::chrono::seconds(1)) / (10 * counts_.size());
        for (std::size_t i = 0; i < n; ++i) {
            hosts_.now += step;
            if (hosts_.now - last_heartbeat_ >= heartbeat_interval) {
                last_heartbeat_ = hosts_.now;
                hosts_.update_mean();
            }
            if (open_.size() >= target())
                close_random();
            begin();
        }
    }

    /// Takes every third host out of service, with a new flow for each of its flows. Then returns the hosts to service
    /// and begins as many flows as are open.
    void domain_out_and_in()
    {
        for (std::size_t i = 0; i < hosts_.members.size(); i += domains)
            hosts_.end_eligibility(hosts_.members[i].target.id);
        update();
        std::size_t abandoned = 0;
        for (std::size_t i = 0; i < open_.size();) {
            if (hosts_.find(open_[i].owner).eligible) {
                ++i;
                continue;
            }
            close(i);
            ++abandoned;
        }
        churn(abandoned);
        hosts_.now += std::chrono::minutes(5);
        for (std::size_t i = 0; i < hosts_.members.size(); i += domains)
            hosts_.begin_eligibility(hosts_.members[i].target.id);
        update();
        churn(open_.size());
    }

    double imbalance() const
    {
        std::size_t max = 0;
        for (const auto& [id, n] : counts_)
            max = std::max(max, n);
        return static_cast<double>(max) * static_cast<double>(counts_.size()) / static_cast<double>(open_.size());
    }

private:
    struct open_flow {
        routing::packet_info packet;
        core::upstream_id owner;
    };

    void update()
    {
        hosts_.update_agents();
        table_ = routing::forwarding_table::create(hosts_.table, table_, hosts_.now);
        for (const auto& it : routers_)
            it->set_table(table_);
    }

    void begin()
    {
        const auto packet = simulated_hosts::packet(next_caller_++, routing::packet_kind::syn);
        const auto route = routers_[random_() % balancers]->select(packet, hosts_.now);
        auto owner = route->members->members.front().id;
        if (agents_place_)
            owner = hosts_.forward_until_decided(packet, simulated_hosts::header(*table_, *route)).at;
        ++counts_[owner];
        open_.push_back({packet, owner});
    }

    void close_random() { close(random_() % open_.size()); }

    void close(std::size_t i)
    {
        const auto& it = open_[i];
        --counts_[it.owner];
        // Simplified: an agent keeps a closed flow for a minute after its FIN, but here the flow is removed at once.
        if (agents_place_)
            hosts_.agents.at(it.owner)->forget(it.packet.flow);
        open_[i] = open_.back();
        open_.pop_back();
    }

    simulated_hosts hosts_;
    bool agents_place_;
    std::mt19937 random_;
    std::vector<std::unique_ptr<routing::router>> routers_;
    std::shared_ptr<const routing::forwarding_table> table_;
    std::map<core::upstream_id, std::size_t> counts_;
    std::vector<open_flow> open_;
    std::uint32_t next_caller_ = 0;
    core::time_point last_heartbeat_{};
};

struct result {
    double mean = 0;
    double worst = 0;

    void add(double it)
    {
        mean += it / runs;
        worst = std::max(worst, it);
    }

    QJsonObject to_json() const { return {{"mean", mean}, {"worst", worst}}; }
};

QJsonObject measure(const router_factory& create, bool agents_place)
{
    QJsonObject all;
    for (const std::size_t hosts : {std::size_t{3}, std::size_t{7}, std::size_t{11}}) {
        result steady;
        result returned;
        for (unsigned seed = 0; seed < runs; ++seed) {
            simulation it(hosts, create, agents_place, seed);
            it.churn(it.target() * 4);
            steady.add(it.imbalance());
            it.domain_out_and_in();
            returned.add(it.imbalance());
        }
        all.insert(QString("hosts_%1").arg(hosts),
            QJsonObject{{"steady", steady.to_json()}, {"domain_returned", returned.to_json()}});
    }
    return all;
}

} // namespace

int main()
{
    const QJsonObject report{
        {"benchmark", "flow_balance"},
        {"measure", "max/mean of open flows"},
        {"runs", static_cast<int>(runs)},
        {"chains", measure([] { return std::make_unique<routing::chain_router>(); }, true)},
        {"consistent_hash", measure([] { return std::make_unique<routing::consistent_hash_router>(); }, false)},
        {"flow_tables",
            measure([] { return std::make_unique<routing::flow_table_router>(routing::flow_limits{}); }, false)},
    };
    std::cout << QJsonDocument(report).toJson(QJsonDocument::Compact).toStdString() << '\n';
}
