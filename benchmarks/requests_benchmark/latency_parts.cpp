#include "parts.h"

#include "ibisdyke/admission/share_admission.h"
#include "ibisdyke/frontends/requests/request_thread.h"
#include "ibisdyke/requests/attempt_selector.h"
#include "ibisdyke/testing/request_cluster.h"

#include "../statistics.h"

#include <QTimer>

#include <algorithm>
#include <chrono>
#include <optional>

namespace ibisdyke::benchmarks {

namespace {

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

void append(std::vector<double>& to, const std::vector<double>& from)
{
    to.insert(to.end(), from.begin(), from.end());
}

} // namespace

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
        elapsed_seconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
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

} // namespace ibisdyke::benchmarks
