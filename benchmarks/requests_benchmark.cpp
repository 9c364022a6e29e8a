// Measures the request path and prints one line of JSON. Queue policies, shares and selectors are simulated with the
// product's decision code in virtual time. The latency of small requests during the transfer of large answers is
// measured on loopback, with caller, balancer, agent and upstream on a thread each.
//
// Usage: requests_benchmark [goodput|share|selectors|latency|at_most_once]...   (all without arguments)

#include "ibisdyke/admission/fifo_admission.h"
#include "ibisdyke/admission/share_admission.h"
#include "ibisdyke/frontends/requests/request_thread.h"
#include "ibisdyke/requests/attempt_selector.h"
#include "ibisdyke/requests/retry_budget.h"
#include "ibisdyke/testing/request_cluster.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>

using namespace ibisdyke;
using namespace std::chrono_literals;

namespace {

using seconds = std::chrono::duration<double>;

constexpr double mean_service_seconds = 0.020;

core::time_point::duration to_duration(double n)
{
    return std::chrono::duration_cast<core::time_point::duration>(seconds(n));
}

/// Runs the events of a simulation in the order of their virtual times.
class timeline {
public:
    core::time_point now() const { return now_; }

    void at(core::time_point when, std::function<void()> action) { events_.push({when, next_++, std::move(action)}); }
    void after(double n, std::function<void()> action) { at(now_ + to_duration(n), std::move(action)); }

    void run_until(core::time_point end)
    {
        while (!events_.empty() && events_.top().when <= end) {
            const auto it = events_.top();
            events_.pop();
            now_ = it.when;
            it.action();
        }
        now_ = end;
    }

private:
    struct event {
        core::time_point when;
        std::uint64_t order;
        std::function<void()> action;

        friend bool operator<(const event& left, const event& right)
        {
            return std::tie(left.when, left.order) > std::tie(right.when, right.order);
        }
    };

    core::time_point now_{1'000s};
    std::uint64_t next_ = 0;
    std::priority_queue<event> events_;
};

/// An agent with its admission policy, and an upstream with exponentially distributed service times.
class simulated_agent {
public:
    using end_callback = std::function<void(bool answered)>;

    simulated_agent(timeline& time, std::unique_ptr<admission::admission_policy> policy, std::mt19937& random)
        : time_(time)
        , policy_(std::move(policy))
        , random_(random)
    {
    }

    void offer(const core::neighbour& neighbour, core::time_point deadline, end_callback done)
    {
        const auto id = ++last_;
        open_.emplace(id, std::move(done));
        neighbours_.emplace(id, neighbour);
        apply(policy_->offer({id, neighbour, deadline}, time_.now()));
    }

    double slot_seconds() const { return slot_seconds_; }
    double slot_seconds_of(const core::neighbour& neighbour) { return slot_seconds_by_neighbour_[neighbour]; }
    std::uint32_t running() const { return running_; }

private:
    void apply(const admission::admission_decision& decision)
    {
        for (const auto id : decision.shed)
            finish(id, false);
        for (const auto id : decision.start)
            start(id);
        if (const auto next = policy_->next_event())
            time_.at(std::max(*next, time_.now()), [this] { apply_expiry(); });
    }

    void apply_expiry()
    {
        const auto decision = policy_->advance(time_.now());
        if (decision != admission::admission_decision{})
            apply(decision);
    }

    void start(admission::work_id id)
    {
        ++running_;
        std::exponential_distribution<double> service(1 / mean_service_seconds);
        const auto duration = service(random_);
        slot_seconds_ += duration;
        slot_seconds_by_neighbour_[neighbours_[id]] += duration;
        time_.after(duration, [this, id] {
            --running_;
            // The policy gets no latency, because it would at times take exponential service times for a cold start.
            const auto decision = policy_->finish(id, admission::work_outcome::answered, time_.now());
            finish(id, true);
            apply(decision);
        });
    }

    void finish(admission::work_id id, bool answered)
    {
        const auto it = open_.find(id);
        if (it == open_.end())
            return;
        const auto done = std::move(it->second);
        open_.erase(it);
        neighbours_.erase(id);
        done(answered);
    }

    timeline& time_;
    std::unique_ptr<admission::admission_policy> policy_;
    std::mt19937& random_;
    admission::work_id last_ = 0;
    std::map<admission::work_id, end_callback> open_;
    std::map<admission::work_id, core::neighbour> neighbours_;
    std::map<core::neighbour, double> slot_seconds_by_neighbour_;
    double slot_seconds_ = 0;
    std::uint32_t running_ = 0;
};

/// Sends requests as a Poisson process.
void send_poisson(timeline& time, std::mt19937& random, double per_second, const std::function<void()>& send)
{
    std::exponential_distribution<double> gap(per_second);
    time.after(gap(random), [&time, &random, per_second, send] {
        send();
        send_poisson(time, random, per_second, send);
    });
}

constexpr std::uint32_t slots = 5;
constexpr double capacity_per_second = slots / mean_service_seconds;

admission::admission_settings create_rules()
{
    admission::admission_settings it;
    it.slots = slots;
    return it;
}

/// Returns the rate of answers within the deadline as a share of the capacity.
double measure_goodput(std::unique_ptr<admission::admission_policy> policy, double load)
{
    constexpr double run_seconds = 120;
    constexpr auto deadline = 500ms;
    timeline time;
    std::mt19937 random(1);
    simulated_agent agent(time, std::move(policy), random);
    std::uint64_t good = 0;
    send_poisson(time, random, load * capacity_per_second, [&] {
        const auto limit = time.now() + deadline;
        agent.offer(core::neighbour("a"), limit, [&, limit](bool answered) {
            if (answered && time.now() <= limit)
                ++good;
        });
    });
    time.run_until(time.now() + to_duration(run_seconds));
    return static_cast<double>(good) / run_seconds / capacity_per_second;
}

QJsonObject goodput_of(const std::function<std::unique_ptr<admission::admission_policy>()>& create)
{
    QJsonObject result;
    for (const double load : {0.5, 1.0, 2.0, 5.0})
        result.insert(QString::number(load), measure_goodput(create(), load));
    result.insert("ratio_5_to_1", result["5"].toDouble() / result["1"].toDouble());
    return result;
}

QJsonObject measure_goodputs()
{
    return {
        {"share_admission", goodput_of([] { return admission::share_admission::create(create_rules()); })},
        {"fifo_10", goodput_of([] { return admission::fifo_admission::create(slots, 10); })},
        {"fifo_1000", goodput_of([] { return admission::fifo_admission::create(slots, 1000); })},
    };
}

/// Returns the largest relative difference between a neighbour's share of the slot time and its share of the weights.
double measure_share_error(std::unique_ptr<admission::admission_policy> policy,
    const std::map<std::string, std::uint32_t>& weights, double load_of_each)
{
    timeline time;
    std::mt19937 random(2);
    simulated_agent agent(time, std::move(policy), random);
    double all_weights = 0;
    for (const auto& [name, weight] : weights) {
        all_weights += weight;
        const core::neighbour neighbour(name);
        send_poisson(time, random, load_of_each * capacity_per_second,
            [&agent, &time, neighbour] { agent.offer(neighbour, time.now() + 500ms, [](bool) {}); });
    }
    time.run_until(time.now() + 120s);
    double worst = 0;
    for (const auto& [name, weight] : weights) {
        const auto expected = weight / all_weights;
        const auto part = agent.slot_seconds_of(core::neighbour(name)) / agent.slot_seconds();
        worst = std::max(worst, std::abs(part / expected - 1));
    }
    return worst;
}

QJsonObject measure_shares()
{
    const std::map<std::string, std::uint32_t> weights{{"a", 5}, {"b", 2}, {"c", 1}};
    auto rules = create_rules();
    for (const auto& [name, weight] : weights)
        rules.neighbours.emplace(core::neighbour(name), admission::neighbour_policy{weight, 0, 0});
    QJsonObject result;
    for (const double load : {1.0, 2.0, 5.0}) {
        result.insert("share_admission_load_" + QString::number(load),
            measure_share_error(admission::share_admission::create(rules), weights, load));
    }
    result.insert("fifo_10_load_2", measure_share_error(admission::fifo_admission::create(slots, 10), weights, 2));
    return result;
}

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

/// Waits for the end of an answer and returns the milliseconds from `begin` to the end. The end is timed in its
/// callback, because wait_for() checks its condition only every 5 ms.
double wait_for_end(testing::caller_answer& answer, std::chrono::steady_clock::time_point begin)
{
    std::optional<std::chrono::steady_clock::time_point> end;
    answer.on_closed_ = [&end] { end = std::chrono::steady_clock::now(); };
    testing::request_cluster::wait_for([&end] { return end.has_value(); });
    answer.on_closed_ = nullptr;
    return std::chrono::duration<double, std::milli>(end.value() - begin).count();
}

/// The caller on this thread, and balancer, agent and upstream on a thread each.
class latency_setup {
public:
    latency_setup()
    {
        upstream_thread_.run([this] {
            upstream_ = new testing::fake_upstream(upstream_thread_.parent());
            upstream_->keep_calls_ = false;
            upstream_->on_request_ = [](testing::upstream_call& it) {
                it.answer_in_parts(it.header(":path") == "/large" ? large_bytes : small_bytes);
            };
        });
        const auto token = testing::create_token("token-a", "riechwerk");
        configuration::profile rules;
        rules.name = "default";
        rules.cold_start_share = 1;
        auto state = std::make_shared<dissemination::system_state>();
        state->applied = {1, 1};
        state->configuration.profiles.emplace("default", rules);
        state->configuration.services.emplace(
            service_, configuration::service{service_, "dossier-store", "default", {}});
        state->configuration.tokens.emplace(token.digest, token);
        state_.publish(state);
        identity_.publish(std::make_shared<const frontends::agent_identity>(
            frontends::agent_identity{core::upstream_id(1), service_, std::nullopt, false}));
        agent_thread_.run([this] { create_agent(); });
        routing::member member;
        member.target = {core::upstream_id(1), {}, agent_->address(), core::incarnation(1)};
        member.eligible = true;
        routes_.publish(routing::routing_table::create({1, 1}, {{service_, "dossier-store", {member}, {}}}, nullptr));
        gateway_thread_.run([this] { create_gateway(); });
        client_ = std::make_unique<transport::http2_client>(
            gateway_->address(), 0, transport::http2_limits{}, nullptr, nullptr);
    }

    /// Sends small requests one after the other, with pauses of 5 ms, and returns their latencies in milliseconds.
    std::vector<double> measure_small(std::size_t count)
    {
        std::vector<double> result;
        for (std::size_t i = 0; i < count; ++i) {
            const auto begin = std::chrono::steady_clock::now();
            result.push_back(wait_for_end(*send("/small"), begin));
            testing::request_cluster::run_for(5);
        }
        return result;
    }

    /// Starts to read a 40 MB answer at `per_second` bytes per second.
    void start_slow_reader(std::size_t per_second)
    {
        constexpr int interval_ms = 10;
        const auto answer = send("/large");
        answer->keep_body_ = false;
        answer->read_limit_ = 0;
        auto* const timer = new QTimer(&parent_);
        const auto acknowledged = std::make_shared<std::size_t>(0);
        QObject::connect(timer, &QTimer::timeout, timer, [answer, acknowledged, per_second] {
            const auto n = std::min(per_second * interval_ms / 1000, answer->body_bytes_ - *acknowledged);
            *acknowledged += n;
            if (answer->stream_ && n > 0)
                answer->stream_->acknowledge(n);
        });
        timer->start(interval_ms);
        slow_answers_.push_back(answer);
    }

    void stop_slow_readers()
    {
        for (const auto& it : slow_answers_) {
            if (it->stream_)
                it->stream_->reset(transport::reset_reason::cancelled);
        }
        testing::request_cluster::wait_for([this] {
            return std::all_of(
                slow_answers_.begin(), slow_answers_.end(), [](const auto& it) { return it->closed_.has_value(); });
        });
        qDeleteAll(parent_.children());
        slow_answers_.clear();
    }

    std::size_t slow_bytes() const
    {
        std::size_t n = 0;
        for (const auto& it : slow_answers_)
            n += it->body_bytes_;
        return n;
    }

private:
    static constexpr std::size_t large_bytes = 40'000'000;
    static constexpr std::size_t small_bytes = 1'000;

    std::shared_ptr<testing::caller_answer> send(const char* path)
    {
        auto answer = std::make_shared<testing::caller_answer>();
        answer->stream_ =
            client_->open_stream({{":method", "GET"}, {":scheme", "http"}, {":authority", "dossier-store"},
                                     {":path", path}, {"authorization", "Bearer token-a"}},
                transport::end_of_stream::yes, answer);
        return answer;
    }

    void create_agent()
    {
        frontends::server_settings settings;
        settings.listen = core::endpoint::create("127.0.0.1:0");
        settings.upstream = upstream_->server_->address();
        settings.incarnation = core::incarnation(1);
        settings.slots = 20;
        admission::admission_settings rules;
        rules.slots = settings.slots;
        agent_ = new frontends::request_server(settings, {state_, routes_, identity_, usage_, counters_, nullptr, {}},
            admission::share_admission::create(rules), agent_thread_.parent());
    }

    void create_gateway()
    {
        gateway_ = new frontends::request_gateway({.listen = core::endpoint::create("127.0.0.1:0")},
            {state_, routes_, counters_, nullptr, {}}, std::make_unique<requests::chain_order_selector>(),
            gateway_thread_.parent());
    }

    int argc_ = 0;
    QCoreApplication application_{argc_, nullptr};
    QObject parent_;
    core::service_id service_{1};
    core::snapshot_publisher<dissemination::system_state> state_;
    core::snapshot_publisher<routing::routing_table> routes_;
    core::snapshot_publisher<frontends::agent_identity> identity_;
    frontends::usage_meter usage_{core::incarnation(1)};
    observability::counter_registry counters_;
    frontends::request_thread upstream_thread_{"upstream"};
    frontends::request_thread agent_thread_{"agent"};
    frontends::request_thread gateway_thread_{"gateway"};
    testing::fake_upstream* upstream_ = nullptr;
    frontends::request_server* agent_ = nullptr;
    frontends::request_gateway* gateway_ = nullptr;
    std::unique_ptr<transport::http2_client> client_;
    std::vector<std::shared_ptr<testing::caller_answer>> slow_answers_;
};

double percentile(std::vector<double> samples, double share)
{
    std::sort(samples.begin(), samples.end());
    return samples.at(static_cast<std::size_t>(share * static_cast<double>(samples.size() - 1)));
}

void append(std::vector<double>& to, const std::vector<double>& from)
{
    to.insert(to.end(), from.begin(), from.end());
}

QJsonObject measure_latency()
{
    // Rounds with and without slow readers alternate, so that other load on the machine affects both equally.
    constexpr int rounds = 8;
    constexpr std::size_t count = 150;
    constexpr int readers = 4;
    constexpr std::size_t reader_bytes_per_second = 2'000'000;
    latency_setup setup;
    setup.measure_small(100);
    std::vector<double> quiet;
    std::vector<double> with_slow_readers;
    double megabytes = 0;
    double elapsed_seconds = 0;
    for (int round = 0; round < rounds; ++round) {
        append(quiet, setup.measure_small(count));
        for (int i = 0; i < readers; ++i)
            setup.start_slow_reader(reader_bytes_per_second);
        testing::request_cluster::run_for(300);
        const auto before = setup.slow_bytes();
        const auto begin = std::chrono::steady_clock::now();
        append(with_slow_readers, setup.measure_small(count));
        elapsed_seconds += seconds(std::chrono::steady_clock::now() - begin).count();
        megabytes += static_cast<double>(setup.slow_bytes() - before) / 1e6;
        setup.stop_slow_readers();
    }
    return {
        {"quiet_p50_ms", percentile(quiet, 0.5)},
        {"quiet_p99_ms", percentile(quiet, 0.99)},
        {"beside_p50_ms", percentile(with_slow_readers, 0.5)},
        {"beside_p99_ms", percentile(with_slow_readers, 0.99)},
        {"p99_ratio", percentile(with_slow_readers, 0.99) / percentile(quiet, 0.99)},
        {"slow_readers", readers},
        {"slow_readers_mb_per_second", megabytes / elapsed_seconds},
    };
}

/// Returns the latencies of non-idempotent requests without and with a key from the caller, and of resends. Three
/// agents share an event loop with the caller.
QJsonObject measure_at_most_once()
{
    constexpr int count = 500;
    testing::request_cluster cluster(3, 5);
    const auto measure = [&cluster](const testing::caller_options& options) {
        const auto begin = std::chrono::steady_clock::now();
        return wait_for_end(*cluster.send(options), begin);
    };
    std::vector<double> generated;
    std::vector<double> keyed;
    std::vector<double> resent;
    for (int i = 0; i < count; ++i) {
        testing::caller_options options;
        options.method = "POST";
        options.body = "check";
        generated.push_back(measure(options));
        options.headers = {{"idempotency-key", "key-" + std::to_string(i)},
            {"ibisdyke-first-sent", testing::wall_clock_text(std::chrono::milliseconds(0))}};
        keyed.push_back(measure(options));
        resent.push_back(measure(options));
    }
    return {
        {"generated_key_p50_ms", percentile(generated, 0.5)},
        {"callers_key_p50_ms", percentile(keyed, 0.5)},
        {"resend_p50_ms", percentile(resent, 0.5)},
        {"runs_per_key", static_cast<double>(cluster.total_calls() - count) / count},
    };
}

} // namespace

int main(int argc, char** argv)
{
    const std::map<std::string, std::function<QJsonObject()>> parts{{"goodput", measure_goodputs},
        {"share", measure_shares}, {"selectors", measure_selectors}, {"latency", measure_latency},
        {"at_most_once", measure_at_most_once}};
    std::set<std::string> wanted;
    for (int i = 1; i < argc; ++i)
        wanted.insert(argv[i]);
    QJsonObject result;
    for (const auto& [name, measure] : parts) {
        if (wanted.empty() || wanted.contains(name))
            result.insert(QString::fromStdString(name), measure());
    }
    std::cout << QJsonDocument(result).toJson(QJsonDocument::Compact).toStdString() << '\n';
    return 0;
}
