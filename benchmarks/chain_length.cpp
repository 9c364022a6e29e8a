// Measures the chains of a service with 7 and with 11 hosts over a day with drains, restarts and a failure domain that
// leaves and returns: the chain length for new flows, the share of new flows that are placed without a search, and the
// number of agents that a packet visits after the first one. Runs the decision code of leader, balancers and agents in
// virtual time, with and without the recorded flow watermarks, and with the two baseline routers. Each host has 50 open
// flows. With feeds, 30 flows last 4 h and 20 flows last 2 min on average; without feeds, all flows last 2 min. Each
// flow sends a packet every 30 s. The fabric always sends a flow to the same balancer, which is the best case for flow
// tables. Prints one line of JSON.
//
//     build/benchmarks/chain_length [SEED]

#include "ibisdyke/frontends/discovery/routing_input.h"
#include "ibisdyke/membership/lease_table.h"
#include "ibisdyke/routing/chain_router.h"
#include "ibisdyke/routing/consistent_hash_router.h"
#include "ibisdyke/routing/flow_agent.h"
#include "ibisdyke/routing/flow_table_router.h"
#include "ibisdyke/testing/simulated_hosts.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QString>

#include <algorithm>
#include <chrono>
#include <functional>
#include <iostream>
#include <queue>
#include <random>
#include <string>

namespace {

using namespace ibisdyke;
using namespace std::chrono_literals;
using routing::packet_action;
using routing::packet_kind;
using testing::simulated_hosts;

constexpr std::size_t domains = 3;
constexpr std::size_t balancers = 4;
constexpr core::milliseconds step{500};
constexpr core::milliseconds day = 24h;
constexpr core::milliseconds absence = 10min;
constexpr core::milliseconds recovery_window = 60s;
constexpr core::milliseconds packet_interval = 30s;
constexpr core::milliseconds feed_length = 4h;
constexpr core::milliseconds short_flow_length = 2min;

/// Mean number of long and short open flows per host.
struct flow_mix {
    double feeds = 0;
    double short_flows = 0;
};

constexpr flow_mix with_feeds{30, 20};
constexpr flow_mix without_feeds{0, 50};

enum class watermarks : std::uint8_t {
    recorded,
    ignored,
};

/// Whether the agents or the router decide which upstream gets a packet.
enum class placement : std::uint8_t {
    by_agents,
    by_router,
};

using router_factory = std::function<std::unique_ptr<routing::router>()>;

struct setup {
    std::size_t hosts = 7;
    flow_mix mix = with_feeds;
    watermarks use_of_watermarks = watermarks::recorded;
    placement placed = placement::by_agents;
    router_factory create_router;
    unsigned seed = 1;
};

core::failure_domain domain_of(std::size_t host)
{
    return core::failure_domain("zone-" + std::to_string(host % domains));
}

/// Counts how often each value occurs.
class distribution {
public:
    void add(std::size_t value)
    {
        if (counts_.size() <= value)
            counts_.resize(value + 1);
        ++counts_[value];
        ++total_;
        sum_ += value;
    }

    QJsonObject to_json() const
    {
        if (total_ == 0)
            return {};
        constexpr double percentile = 0.99;
        std::uint64_t below = 0;
        std::size_t p99 = 0;
        while (p99 < counts_.size()) {
            below += counts_[p99];
            if (static_cast<double>(below) >= percentile * static_cast<double>(total_))
                break;
            ++p99;
        }
        return {{"mean", static_cast<double>(sum_) / static_cast<double>(total_)}, {"p99", static_cast<int>(p99)},
            {"max", static_cast<int>(counts_.size()) - 1}};
    }

private:
    std::vector<std::uint64_t> counts_;
    std::uint64_t total_ = 0;
    std::uint64_t sum_ = 0;
};

/// Simulates a service for a day of virtual time.
class day_simulation {
public:
    explicit day_simulation(const setup& it)
        : setup_(it)
        , random_(it.seed)
        , leases_(membership::lease_limits{}, now_)
    {
        configuration::service service;
        service.id = simulated_hosts::service;
        service.name = "service";
        service.addresses = {
            {{simulated_hosts::address, simulated_hosts::port}, configuration::transport_protocol::tcp}};
        state_.configuration.services[service.id] = service;
        state_.applied = {1, 1};
        for (std::size_t i = 0; i < balancers; ++i)
            routers_.push_back(it.create_router());
        for (std::size_t i = 0; i < it.hosts; ++i)
            hosts_.push_back(make_host(i));
        publish();
        plan_day();
    }

    QJsonObject run()
    {
        for (const auto end = now_ + 2min; now_ < end; now_ += step)
            control();
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            for (int n = 0; n < static_cast<int>(setup_.mix.feeds); ++n)
                begin_flow(feed_length);
            for (int n = 0; n < static_cast<int>(setup_.mix.short_flows); ++n)
                begin_flow(short_flow_length);
        }
        // The day begins after the first chains have settled.
        for (const auto end = now_ + 5min; now_ < end; now_ += step)
            advance();
        reset_counts();
        start_ = now_;
        while (now_ - start_ < day) {
            while (!plan_.empty() && plan_.front().at <= now_ - start_) {
                plan_.front().act();
                plan_.erase(plan_.begin());
            }
            advance();
            now_ += step;
        }
        return report();
    }

private:
    struct host {
        membership::heartbeat beat;
        std::unique_ptr<routing::flow_agent> agent;
        std::optional<core::upstream_id> id;
        core::time_point recovering_until{};
        double mean_open_flows = 0;
    };

    struct open_flow {
        routing::packet_info packet;
        std::size_t balancer = 0;
        core::upstream_id owner;
        core::time_point ends;
        core::time_point next_packet;
    };

    struct later {
        bool operator()(const open_flow& a, const open_flow& b) const { return a.next_packet > b.next_packet; }
    };

    struct event {
        core::milliseconds at{};
        std::function<void()> act;
    };

    host make_host(std::size_t i)
    {
        host result;
        result.beat.sender = core::incarnation(next_incarnation_++);
        result.beat.name = "host-" + std::to_string(i);
        result.beat.domain = domain_of(i);
        result.beat.service = "service";
        result.beat.packet_endpoint = {0x7f000001, static_cast<std::uint16_t>(i + 1)};
        result.beat.request_endpoint = {0x7f000002, static_cast<std::uint16_t>(i + 1)};
        result.beat.slots = 5;
        result.agent = std::make_unique<routing::flow_agent>(routing::flow_limits{}, 100, routing::rejection_limits{});
        return result;
    }

    /// Plans one drain of each host, restarts of a third of the hosts, and a time in which one failure domain is out.
    void plan_day()
    {
        const auto spread = [this](std::size_t i, std::size_t n) {
            const auto slot = day / static_cast<core::milliseconds::rep>(n);
            const auto offset = std::uniform_int_distribution<core::milliseconds::rep>(0, slot.count() / 2)(random_);
            return slot * static_cast<core::milliseconds::rep>(i) + core::milliseconds(offset);
        };
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            const auto at = spread(i, hosts_.size());
            plan_.push_back({at, [this, i] { hosts_[i].beat.draining = true; }});
            plan_.push_back({at + absence, [this, i] { hosts_[i].beat.draining = false; }});
        }
        const auto restarts = (hosts_.size() + 2) / 3;
        for (std::size_t i = 0; i < restarts; ++i)
            plan_.push_back({spread(i, restarts), [this] { restart(random_() % hosts_.size()); }});
        const auto out = spread(1, 3);
        plan_.push_back({out, [this] { set_domain(configuration::domain_state::out); }});
        plan_.push_back({out + absence, [this] { set_domain(configuration::domain_state::in); }});
        std::sort(plan_.begin(), plan_.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    }

    void restart(std::size_t i)
    {
        auto& it = hosts_[i];
        it.beat.sender = core::incarnation(next_incarnation_++);
        it.beat.sequence = 0;
        it.agent = std::make_unique<routing::flow_agent>(routing::flow_limits{}, 100, routing::rejection_limits{});
        it.recovering_until = now_ + recovery_window;
    }

    void set_domain(configuration::domain_state to)
    {
        ++state_.applied.index;
        auto& it = state_.configuration.domains[domain_of(0)];
        if (it.history.empty())
            it = {domain_of(0), configuration::domain_state::in, {{{}, std::nullopt}}};
        it.state = to;
        if (to == configuration::domain_state::out)
            it.history.back().to = state_.applied;
        else
            it.history.push_back({state_.applied, std::nullopt});
        publish();
        if (to == configuration::domain_state::out)
            abandon_flows();
    }

    /// Ends all flows in the domain and begins as many new flows, because their callers connect again.
    void abandon_flows()
    {
        std::vector<open_flow> open;
        for (; !flows_.empty(); flows_.pop())
            open.push_back(flows_.top());
        std::size_t abandoned = 0;
        for (const auto& it : open) {
            if (host_of(it.owner).beat.domain == domain_of(0))
                ++abandoned;
            else
                flows_.push(it);
        }
        for (std::size_t i = 0; i < abandoned; ++i)
            begin_flow(setup_.mix.feeds > 0 ? feed_length : short_flow_length);
    }

    host& host_of(const core::upstream_id& id)
    {
        return *std::find_if(hosts_.begin(), hosts_.end(), [&id](const auto& it) { return it.id == id; });
    }

    bool is_out(const host& it) const
    {
        const auto found = state_.configuration.domains.find(it.beat.domain);
        return found != state_.configuration.domains.end() && found->second.state == configuration::domain_state::out;
    }

    void publish()
    {
        const auto configuration = std::make_shared<const configuration::configuration_state>(state_.configuration);
        const auto membership = std::make_shared<const membership::membership_state>(state_.membership);
        leases_.update(configuration, membership, state_.applied, now_);
        auto input = frontends::routing_input(state_);
        for (auto& service : input) {
            for (auto& it : service.members) {
                if (setup_.use_of_watermarks == watermarks::ignored)
                    it.flow_watermark = {};
            }
        }
        chains_ = routing::routing_table::create(state_.applied, input, chains_);
        table_ = routing::forwarding_table::create(chains_, table_, now_);
        for (const auto& it : routers_)
            it->set_table(table_);
    }

    routing::agent_snapshot snapshot_of(const host& it) const
    {
        routing::agent_snapshot result;
        result.self = *it.id;
        result.service = simulated_hosts::service;
        result.applied = state_.applied;
        result.members = chains_->find_service(simulated_hosts::service);
        result.domain_out_of_service = is_out(it);
        result.recovering_until = it.recovering_until;
        result.admission.accepts_new_flows = !it.beat.draining;
        result.admission.mean_open_flows = it.mean_open_flows;
        return result;
    }

    void control()
    {
        for (auto& it : hosts_) {
            if (it.id) {
                const auto agent = snapshot_of(it);
                it.agent->maintain(agent, now_);
                it.beat.open_flows = it.agent->flows().open_flows();
                it.beat.flow_watermark = it.agent->watermark(agent, now_);
            }
            ++it.beat.sequence;
            const auto answer = leases_.on_heartbeat(it.beat, now_);
            it.id = answer.upstream;
            it.mean_open_flows = answer.mean_open_flows;
        }
        leases_.tick(now_);
        const auto wall = core::wall_time(std::chrono::duration_cast<core::milliseconds>(now_.time_since_epoch()));
        const auto change = leases_.propose(now_, wall);
        if (!change)
            return;
        ++records_;
        ++state_.applied.index;
        const auto before = state_.membership;
        state_.membership = membership::apply(before, *change, state_.applied);
        if (holds_only_watermarks(before))
            ++watermark_records_;
        publish();
    }

    /// Returns whether the last record changed only watermarks and pruned histories.
    bool holds_only_watermarks(const membership::membership_state& before) const
    {
        return std::equal(before.upstreams.begin(), before.upstreams.end(), state_.membership.upstreams.begin(),
            state_.membership.upstreams.end(), [](const auto& a, const auto& b) {
                return a.second.state == b.second.state && a.second.agent == b.second.agent;
            });
    }

    void advance()
    {
        control();
        for (const auto& [rate, length] :
            {std::pair(setup_.mix.feeds, feed_length), std::pair(setup_.mix.short_flows, short_flow_length)}) {
            const auto mean = rate * static_cast<double>(hosts_.size()) * static_cast<double>(step.count())
                / static_cast<double>(length.count());
            if (mean <= 0)
                continue;
            auto n = std::poisson_distribution<int>(mean)(random_);
            for (; n > 0; --n)
                begin_flow(length);
        }
        while (!flows_.empty() && flows_.top().next_packet <= now_) {
            auto it = flows_.top();
            flows_.pop();
            continue_flow(it);
        }
    }

    void begin_flow(core::milliseconds mean_length)
    {
        open_flow it;
        it.packet = simulated_hosts::packet(next_caller_++, packet_kind::syn);
        it.balancer = random_() % balancers;
        const auto life =
            std::exponential_distribution<double>(1.0 / static_cast<double>(mean_length.count()))(random_);
        it.ends = now_ + core::milliseconds(static_cast<core::milliseconds::rep>(life));
        it.next_packet = now_ + 1s;
        ++begun_;
        const auto route = routers_[it.balancer]->select(it.packet, now_);
        const auto& chain = *route->members;
        chain_length_.add(chain.members.size());
        without_search_ += route->phase == routing::search_phase::place ? 1 : 0;
        it.owner = chain.members.front().id;
        if (setup_.placed == placement::by_agents) {
            const auto end = forward_until_decided(it.packet, *route);
            extra_hops_new_.add(end.visits - 1);
            if (end.action != packet_action::place) {
                ++refused_;
                return;
            }
            it.owner = end.at;
        }
        flows_.push(it);
    }

    void continue_flow(open_flow& it)
    {
        const bool ends = it.ends <= now_;
        it.packet.kind = ends ? packet_kind::closing : packet_kind::segment;
        const auto route = routers_[it.balancer]->select(it.packet, now_);
        testing::packet_outcome end{
            packet_action::deliver, routing::packet_reason::none, route->members->members.front().id, 1};
        if (setup_.placed == placement::by_agents)
            end = forward_until_decided(it.packet, *route);
        extra_hops_.add(end.visits - 1);
        const bool delivered = end.action == packet_action::deliver || end.action == packet_action::adopt;
        if (!delivered || end.at != it.owner) {
            ++broken_;
            return;
        }
        if (ends)
            return;
        it.next_packet = std::min(now_ + packet_interval, std::max(it.ends, now_ + step));
        flows_.push(it);
    }

    testing::packet_outcome forward_until_decided(const routing::packet_info& packet, const routing::route& route)
    {
        auto header = simulated_hosts::header(*table_, route);
        for (std::uint32_t visits = 1;; ++visits) {
            auto& at = host_of(header.chain[header.position].id);
            auto decision = at.agent->decide(packet, header, snapshot_of(at), now_);
            if (decision.action != packet_action::forward)
                return {decision.action, decision.reason, *at.id, visits};
            header = *std::move(decision.next);
        }
    }

    void reset_counts()
    {
        chain_length_ = {};
        extra_hops_ = {};
        extra_hops_new_ = {};
        begun_ = without_search_ = broken_ = refused_ = records_ = watermark_records_ = 0;
    }

    QJsonObject report() const
    {
        return {{"new_flows", static_cast<qint64>(begun_)}, {"chain_length", chain_length_.to_json()},
            {"without_search", static_cast<double>(without_search_) / static_cast<double>(begun_)},
            {"extra_hops", extra_hops_.to_json()}, {"extra_hops_of_new_flows", extra_hops_new_.to_json()},
            {"broken", static_cast<qint64>(broken_)}, {"refused", static_cast<qint64>(refused_)},
            {"membership_records", static_cast<qint64>(records_)},
            {"of_these_only_watermarks", static_cast<qint64>(watermark_records_)}};
    }

    setup setup_;
    std::mt19937 random_;
    core::time_point now_{1h};
    core::time_point start_{};
    membership::lease_table leases_;
    dissemination::system_state state_;
    std::vector<host> hosts_;
    std::vector<std::unique_ptr<routing::router>> routers_;
    std::shared_ptr<const routing::routing_table> chains_;
    std::shared_ptr<const routing::forwarding_table> table_;
    std::vector<event> plan_;
    std::priority_queue<open_flow, std::vector<open_flow>, later> flows_;
    std::uint64_t next_incarnation_ = 1;
    std::uint32_t next_caller_ = 0;
    distribution chain_length_;
    distribution extra_hops_;
    distribution extra_hops_new_;
    std::uint64_t begun_ = 0;
    std::uint64_t without_search_ = 0;
    std::uint64_t broken_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t records_ = 0;
    std::uint64_t watermark_records_ = 0;
};

QJsonObject measure_all(std::size_t hosts, const flow_mix& mix, unsigned seed)
{
    const auto chains = [] { return std::make_unique<routing::chain_router>(); };
    const auto hash = [] { return std::make_unique<routing::consistent_hash_router>(); };
    const auto tables = [] { return std::make_unique<routing::flow_table_router>(routing::flow_limits{}); };
    const auto run = [&](watermarks use, placement placed, const router_factory& create) {
        return day_simulation({hosts, mix, use, placed, create, seed}).run();
    };
    return {{"chains", run(watermarks::recorded, placement::by_agents, chains)},
        {"chains_without_watermarks", run(watermarks::ignored, placement::by_agents, chains)},
        {"consistent_hash", run(watermarks::recorded, placement::by_router, hash)},
        {"flow_tables", run(watermarks::recorded, placement::by_router, tables)}};
}

} // namespace

int main(int argc, char** argv)
{
    const auto seed = argc > 1 ? static_cast<unsigned>(std::stoul(argv[1])) : 1U;
    const QJsonObject report{{"benchmark", "chain_length"}, {"seed", static_cast<qint64>(seed)},
        {"hosts_7", measure_all(7, with_feeds, seed)}, {"hosts_11", measure_all(11, with_feeds, seed)},
        {"hosts_7_without_feeds", measure_all(7, without_feeds, seed)},
        {"hosts_11_without_feeds", measure_all(11, without_feeds, seed)}};
    std::cout << QJsonDocument(report).toJson(QJsonDocument::Compact).toStdString() << '\n';
}
