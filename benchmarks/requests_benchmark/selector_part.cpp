#include "parts.h"
#include "simulated_agent.h"

#include "ibisdyke/admission/share_admission.h"
#include "ibisdyke/requests/attempt_selector.h"
#include "ibisdyke/requests/retry_budget.h"
#include "ibisdyke/routing/routing_table.h"

#include <QString>

namespace ibisdyke::benchmarks {

namespace {

/// Balancers, each with its own selector, and the agents of a service.
class selector_simulation {
public:
    static constexpr std::size_t balancers = 3;

    /// A request chooses between `keys` random keys. With `any_candidate` it also chooses between the candidates of the
    /// key's chain.
    selector_simulation(std::size_t hosts, const std::function<std::unique_ptr<requests::attempt_selector>()>& create,
        std::size_t keys, requests::placement where)
        : keys_(keys)
        , where_(where)
    {
        routing::service_members members{service_, "s", {}, {}};
        for (std::size_t i = 0; i < hosts; ++i) {
            routing::member it;
            it.target.id = core::upstream_id(i + 1);
            it.eligible = true;
            members.members.push_back(it);
            agents_.push_back(
                std::make_unique<simulated_agent>(time_, admission::share_admission::create(create_rules()), random_));
        }
        routes_ = routing::routing_table::create({1, 1}, {members}, nullptr);
        for (std::size_t i = 0; i < balancers; ++i)
            selectors_.push_back({create(), requests::retry_budget(0.1)});
    }

    /// Returns the upstreams' largest slot time divided by the mean slot time, and the share of requests that were
    /// answered.
    QJsonObject run(double load)
    {
        const auto rate = load * capacity_per_second * static_cast<double>(agents_.size());
        for (auto& it : selectors_)
            send_poisson(time_, random_, rate / balancers, [this, &it] { send(it); });
        report_loads();
        time_.run_until(time_.now() + 60s);
        double most = 0;
        double sum = 0;
        for (const auto& it : agents_) {
            most = std::max(most, it->slot_seconds());
            sum += it->slot_seconds();
        }
        return {{"max_over_mean", most / (sum / static_cast<double>(agents_.size()))},
            {"answered", static_cast<double>(answered_) / static_cast<double>(sent_)}};
    }

private:
    struct balancer {
        std::unique_ptr<requests::attempt_selector> selector;
        requests::retry_budget budget;
    };

    const routing::chain& draw_chain()
    {
        const auto bucket = static_cast<std::uint32_t>(random_() % routing::buckets_per_service);
        return *routes_->find_chain(service_, bucket);
    }

    void send(balancer& from)
    {
        ++sent_;
        from.budget.on_request(time_.now());
        std::vector<const routing::chain*> options;
        for (std::size_t i = 0; i < keys_; ++i)
            options.push_back(&draw_chain());
        attempt(from, *options[from.selector->choose_chain(options)], {});
    }

    void attempt(balancer& from, const routing::chain& chain, std::vector<core::upstream_id> tried)
    {
        const auto index = from.selector->select({chain, tried, where_});
        if (!index)
            return;
        const auto id = chain.members[*index].id;
        tried.push_back(id);
        from.selector->on_started(id);
        agents_[id.value() - 1]->offer(
            core::neighbour("a"), time_.now() + 500ms, [this, &from, &chain, tried, id](bool answered) {
                from.selector->on_ended(id);
                if (answered)
                    ++answered_;
                else if (from.budget.take(time_.now()))
                    attempt(from, chain, tried);
            });
    }

    void report_loads()
    {
        for (auto& it : selectors_) {
            for (std::size_t i = 0; i < agents_.size(); ++i)
                it.selector->on_load_report(core::upstream_id(i + 1), agents_[i]->running());
        }
        time_.after(0.5, [this] { report_loads(); });
    }

    core::service_id service_{1};
    std::size_t keys_;
    requests::placement where_;
    timeline time_;
    std::mt19937 random_{3};
    std::vector<std::unique_ptr<simulated_agent>> agents_;
    std::shared_ptr<const routing::routing_table> routes_;
    std::vector<balancer> selectors_;
    std::uint64_t sent_ = 0;
    std::uint64_t answered_ = 0;
};

template <typename Selector>
QJsonObject measure_selector(std::size_t keys, requests::placement where = requests::placement::owner_first)
{
    QJsonObject result;
    for (const std::size_t hosts : {3U, 7U, 11U}) {
        for (const double load : {0.5, 0.8}) {
            selector_simulation it(
                hosts, [] { return std::make_unique<Selector>(); }, keys, where);
            result.insert(QString("hosts_%1_load_%2").arg(hosts).arg(load), it.run(load));
        }
    }
    return result;
}

} // namespace

QJsonObject measure_selectors()
{
    return {
        {"chain_order_callers_keys",
            measure_selector<requests::chain_order_selector>(1, requests::placement::any_candidate)},
        {"chain_order_callers_keys_owner_first", measure_selector<requests::chain_order_selector>(1)},
        {"chain_order_two_keys", measure_selector<requests::chain_order_selector>(2)},
        {"chain_order_three_keys", measure_selector<requests::chain_order_selector>(3)},
        {"chain_order_four_keys", measure_selector<requests::chain_order_selector>(4)},
        {"round_robin", measure_selector<requests::round_robin_selector>(1)},
        {"least_reported_load", measure_selector<requests::least_reported_load_selector>(1)},
    };
}

} // namespace ibisdyke::benchmarks
