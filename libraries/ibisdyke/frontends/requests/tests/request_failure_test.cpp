#include "ibisdyke/frontends/requests/admission_reporter.h"
#include "ibisdyke/testing/request_cluster.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace ibisdyke::testing;
using namespace std::chrono_literals;

namespace {

core::endpoint any_port()
{
    return core::endpoint::create("127.0.0.1:0");
}

/// A request with a key of the caller's, owned by that agent.
caller_options keyed_post(const request_cluster& cluster, std::size_t owner)
{
    return {.method = "POST",
        .body = "check",
        .headers = {{"idempotency-key", cluster.key_owned_by(owner)}, {"ibisdyke-first-sent", wall_clock_text(0ms)}}};
}

/// Takes every request and never answers.
void stay_silent(upstream_call&) { }

} // namespace

// Guards against a lost request where another upstream could have served it.
TEST_CASE("a request that an upstream refuses is sent to another one")
{
    request_cluster cluster(2);
    cluster.agents_[0]->upstream_.on_accept_ = [](upstream_call&) { return false; };
    const auto answer = cluster.send(keyed_post(cluster, 0));
    REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
    CHECK(answer->status() == "200");
    CHECK(cluster.agents_[1]->upstream_.calls_.size() == 1);
}

TEST_CASE("a request that every upstream refuses is reported as not run")
{
    request_cluster cluster(3);
    for (const auto& it : cluster.agents_)
        it->upstream_.on_accept_ = [](upstream_call&) { return false; };
    const auto answer = cluster.send({.method = "POST", .body = "check"});
    REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
    CHECK(answer->status() == "503");
    CHECK(answer->verdict() == "not-run");
    CHECK(answer->header("retry-after") == "1");
}

// Guards against a duplicated check: a POST that an upstream has begun must not be sent to another one.
TEST_CASE("a non-idempotent request that fails while running is not sent again")
{
    request_cluster cluster(3);
    for (const auto& it : cluster.agents_)
        it->upstream_.on_request_ = [](upstream_call& call) { call.stream_->reset(transport::reset_reason::failed); };
    const auto answer = cluster.send({.method = "POST", .body = "check"});
    REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
    CHECK(answer->status() == "504");
    CHECK(answer->verdict() == "may-have-run");
    CHECK(cluster.total_calls() == 1);
}

TEST_CASE("an idempotent request that fails while running is sent to another upstream")
{
    request_cluster cluster(2);
    cluster.agents_[0]->upstream_.on_request_ = [](upstream_call& call) {
        call.stream_->reset(transport::reset_reason::failed);
    };
    const auto answer = cluster.send({.headers = {{"idempotency-key", cluster.key_owned_by(0)}}});
    REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
    CHECK(answer->status() == "200");
    CHECK(cluster.total_calls() == 2);
}

// Guards against a false "not run": the second attempt was refused, but the first one may have run.
TEST_CASE("a request whose first attempt may have run is not reported as not run after a refusal")
{
    request_cluster cluster(2);
    cluster.agents_[0]->upstream_.on_request_ = [](upstream_call& call) {
        call.stream_->reset(transport::reset_reason::failed);
    };
    cluster.agents_[1]->upstream_.on_accept_ = [](upstream_call&) { return false; };
    const auto answer = cluster.send({.method = "PUT", .headers = {{"idempotency-key", cluster.key_owned_by(0)}}});
    REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
    CHECK(answer->status() == "504");
    CHECK(answer->verdict() == "may-have-run");
}

// Each section is one step of a request's life at which the upstream process dies.
TEST_CASE("an upstream that dies never yields a duplicate, a false verdict or a cut answer")
{
    request_cluster cluster(2);
    auto& upstream = cluster.agents_[0]->upstream_;
    SECTION("before the request reaches it")
    {
        upstream.die();
        const auto answer = cluster.send(keyed_post(cluster, 0));
        REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
        CHECK(answer->status() == "200");
        CHECK(cluster.agents_[1]->upstream_.calls_.size() == 1);
    }
    SECTION("while the request runs")
    {
        upstream.on_request_ = stay_silent;
        const auto answer = cluster.send(keyed_post(cluster, 0));
        REQUIRE(request_cluster::wait_for([&] { return upstream.calls_.size() == 1; }));
        upstream.die();
        REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
        CHECK(answer->verdict() == "may-have-run");
        CHECK(cluster.total_calls() == 1);
    }
    SECTION("in the middle of the answer")
    {
        upstream.on_request_ = [](upstream_call& it) {
            it.stream_->send_headers({{":status", "200"}}, transport::end_of_stream::no);
            it.stream_->send_data("half an ans", transport::end_of_stream::no);
        };
        const auto answer = cluster.send({.headers = {{"idempotency-key", cluster.key_owned_by(0)}}});
        REQUIRE(request_cluster::wait_for([&] { return !answer->body_.empty(); }));
        upstream.die();
        REQUIRE(request_cluster::wait_for([&] { return answer->closed_.has_value(); }));
        CHECK(!answer->ended_);
        CHECK(answer->closed_ != transport::close_reason::completed);
        CHECK(answer->closed_ != transport::close_reason::refused);
    }
}

// Each section is one step of a request's life at which the agent process dies.
TEST_CASE("an agent that dies never yields a duplicate, a false verdict or a cut answer")
{
    request_cluster cluster(2);
    auto& agent = *cluster.agents_[0];
    SECTION("before an idempotent request reaches it")
    {
        agent.die();
        const auto answer = cluster.send({.headers = {{"idempotency-key", cluster.key_owned_by(0)}}});
        REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
        CHECK(answer->status() == "200");
    }
    SECTION("before a keyed request reaches it, so that its records cannot be asked for")
    {
        agent.die();
        const auto answer = cluster.send(keyed_post(cluster, 0));
        REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
        CHECK(answer->verdict() == "may-have-run");
        CHECK(cluster.total_calls() == 0);
    }
    SECTION("while the request runs")
    {
        agent.upstream_.on_request_ = stay_silent;
        const auto answer = cluster.send(keyed_post(cluster, 0));
        REQUIRE(request_cluster::wait_for([&] { return agent.upstream_.calls_.size() == 1; }));
        agent.die();
        REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
        CHECK(answer->verdict() == "may-have-run");
        CHECK(cluster.total_calls() == 1);
    }
    SECTION("in the middle of the answer")
    {
        agent.upstream_.on_request_ = [](upstream_call& it) {
            it.stream_->send_headers({{":status", "200"}}, transport::end_of_stream::no);
            it.stream_->send_data("half an ans", transport::end_of_stream::no);
        };
        const auto answer = cluster.send({.headers = {{"idempotency-key", cluster.key_owned_by(0)}}});
        REQUIRE(request_cluster::wait_for([&] { return !answer->body_.empty(); }));
        agent.die();
        REQUIRE(request_cluster::wait_for([&] { return answer->closed_.has_value(); }));
        CHECK(!answer->ended_);
    }
}

namespace {

/// Answers in the agent's place: names the attempt as told and ends the stream as told.
class impostor {
public:
    explicit impostor(request_cluster& cluster)
        : agent_(&cluster.application_)
    {
        cluster.agents_[0]->impostor_ = agent_.server_->address();
        cluster.publish();
    }

    fake_upstream agent_;
};

} // namespace

// Guards against an answer that belongs to another request reaching the caller.
TEST_CASE("an answer that names another attempt is not relayed")
{
    request_cluster cluster(1);
    impostor it(cluster);
    it.agent_.on_request_ = [](upstream_call& call) {
        call.stream_->send_headers({{":status", "200"}, {"ibisdyke-attempt", "another"}}, transport::end_of_stream::no);
        call.stream_->send_data("the dossier of somebody else", transport::end_of_stream::yes);
    };
    const auto answer = cluster.send({.method = "POST", .body = "check"});
    REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
    CHECK(answer->verdict() == "may-have-run");
    CHECK(answer->body_.empty());
}

// Guards against an untrue "not run", on which a caller would send a POST again that has run.
TEST_CASE("a refusal that other evidence contradicts is not believed")
{
    request_cluster cluster(1);
    impostor it(cluster);
    SECTION("a stated verdict for another attempt")
    {
        it.agent_.on_request_ = [](upstream_call& call) {
            call.stream_->send_headers(
                {{":status", "503"}, {"ibisdyke-verdict", "not-run"}, {"ibisdyke-attempt", "another"}},
                transport::end_of_stream::yes);
        };
        const auto answer = cluster.send({.method = "POST", .body = "check"});
        REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
        CHECK(answer->verdict() == "may-have-run");
    }
    SECTION("a refusal after the answer has begun")
    {
        it.agent_.on_request_ = [](upstream_call& call) {
            call.stream_->send_headers({{":status", "200"}, {"ibisdyke-attempt", call.header("ibisdyke-attempt")}},
                transport::end_of_stream::no);
            call.stream_->send_data("begun", transport::end_of_stream::no);
        };
        const auto answer = cluster.send({.method = "POST", .body = "check"});
        REQUIRE(request_cluster::wait_for([&] { return !answer->body_.empty(); }));
        it.agent_.calls_[0]->stream_->reset(transport::reset_reason::refused);
        REQUIRE(request_cluster::wait_for([&] { return answer->closed_.has_value(); }));
        CHECK(answer->closed_ == transport::close_reason::reset);
    }
    SECTION("a connection that is lost after the request was sent")
    {
        it.agent_.on_request_ = stay_silent;
        const auto answer = cluster.send({.method = "POST", .body = "check"});
        REQUIRE(request_cluster::wait_for([&] { return it.agent_.calls_.size() == 1; }));
        it.agent_.die();
        REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
        CHECK(answer->verdict() == "may-have-run");
    }
}

// Guards against a late answer that reaches the caller after its verdict, or another caller.
TEST_CASE("an answer after the deadline is dropped")
{
    request_cluster cluster(1);
    auto& upstream = cluster.agents_[0]->upstream_;
    upstream.on_request_ = stay_silent;
    const auto late = cluster.send({.method = "POST", .body = "first", .headers = {{"ibisdyke-deadline-ms", "300"}}});
    REQUIRE(request_cluster::wait_for([&] { return late->complete(); }));
    CHECK(late->verdict() == "may-have-run");
    upstream.on_request_ = [](upstream_call& it) { it.answer("second"); };
    upstream.calls_.at(0)->answer("first");
    const auto next = cluster.send({.method = "POST", .body = "second"});
    REQUIRE(request_cluster::wait_for([&] { return next->complete(); }));
    CHECK(next->body_ == "second");
    CHECK(late->body_.empty());
}

// Guards against an upstream that goes on working for a caller that has gone.
TEST_CASE("a caller's cancellation reaches the upstream")
{
    request_cluster cluster(1, 1);
    auto& upstream = cluster.agents_[0]->upstream_;
    upstream.on_request_ = stay_silent;
    const auto running = cluster.send({});
    REQUIRE(request_cluster::wait_for([&] { return upstream.calls_.size() == 1; }));
    const auto queued = cluster.send({});
    REQUIRE(request_cluster::wait_for([&] { return cluster.agents_[0]->server_->open_requests() == 2; }));
    // A queued request that is cancelled must not run once the slot is free.
    queued->stream_->reset(transport::reset_reason::cancelled);
    REQUIRE(request_cluster::wait_for([&] { return cluster.agents_[0]->server_->open_requests() == 1; }));
    running->stream_->reset(transport::reset_reason::cancelled);
    REQUIRE(request_cluster::wait_for([&] { return upstream.calls_[0]->closed_.has_value(); }));
    CHECK(upstream.calls_[0]->closed_ == transport::close_reason::reset);
    request_cluster::run_for(100);
    CHECK(upstream.calls_.size() == 1);
    CHECK(cluster.gateways_[0]->open_requests() == 0);
}

// Guards against a retry storm: with every upstream failing, each request would otherwise be sent three times.
TEST_CASE("retries stay within the budget when every upstream refuses")
{
    request_cluster cluster(3, 50);
    for (const auto& it : cluster.agents_)
        it->upstream_.on_accept_ = [](upstream_call&) { return false; };
    constexpr std::size_t count = 300;
    std::vector<std::shared_ptr<caller_answer>> answers;
    answers.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        answers.push_back(cluster.send({}));
    REQUIRE(request_cluster::wait_for(
        [&] { return std::all_of(answers.begin(), answers.end(), [](const auto& it) { return it->complete(); }); }));
    // 10% of the requests and one per second of the window of 10 s.
    CHECK(cluster.counter("request_retries") <= count / 10 + 10);
    CHECK(cluster.counter("request_attempts") <= count + count / 10 + 10);
    CHECK(cluster.counter("requests_not_run") == count);
}

// Guards against an upstream that gets more requests at once than it has slots, by any way into the agent.
TEST_CASE("the upstream's slots are never exceeded")
{
    request_cluster cluster(1, 2);
    cluster.profile_.queue_per_slot = 50;
    cluster.publish();
    auto& upstream = cluster.agents_[0]->upstream_;
    upstream.on_request_ = [&](upstream_call& it) {
        QTimer::singleShot(5, &cluster.application_, [&it] { it.answer("ok"); });
    };
    std::vector<std::shared_ptr<caller_answer>> answers;
    answers.reserve(60);
    for (int i = 0; i < 60; ++i)
        answers.push_back(cluster.send({}));
    answers[3]->stream_->reset(transport::reset_reason::cancelled);
    REQUIRE(request_cluster::wait_for([&] {
        return std::all_of(answers.begin(), answers.end(), [](const auto& it) { return it->closed_.has_value(); });
    }));
    CHECK(upstream.most_running_ <= 2);
    CHECK(upstream.calls_.size() >= 50);
}

// Guards against a full share of load on an upstream that has just started, under which it would fail.
TEST_CASE("the cold-start limit is never exceeded")
{
    request_cluster cluster(1, 10);
    cluster.profile_.cold_start_share = 0.1;
    cluster.profile_.cold_start_ramp = 2s;
    cluster.profile_.queue_per_slot = 20;
    cluster.publish();
    auto& agent = *cluster.agents_[0];
    request_cluster::run_for(100);
    agent.server_->begin_cold_start();
    QElapsedTimer timer;
    timer.start();
    std::size_t violations = 0;
    agent.upstream_.on_request_ = [&](upstream_call& it) {
        const auto share = std::min(1.0, 0.1 + 0.9 * static_cast<double>(timer.elapsed() + 1) / 2000);
        const auto limit = std::max<std::size_t>(1, static_cast<std::size_t>(10 * share));
        if (agent.upstream_.running() > limit)
            ++violations;
        QTimer::singleShot(10, &cluster.application_, [&it] { it.answer("ok"); });
    };
    std::vector<std::shared_ptr<caller_answer>> answers;
    while (timer.elapsed() < 2500) {
        for (int i = 0; i < 5; ++i)
            answers.push_back(cluster.send({}));
        request_cluster::run_for(10);
    }
    CHECK(violations == 0);
    CHECK(agent.upstream_.most_running_ > 5);
    request_cluster::wait_for([&] { return cluster.gateways_[0]->open_requests() == 0; });
}

// Guards against a false cold start that never ends and against a cold start that goes unnoticed.
TEST_CASE("a lost connection puts the upstream into cold start")
{
    request_cluster cluster(1, 10);
    cluster.profile_.cold_start_share = 0.1;
    cluster.profile_.cold_start_ramp = 500ms;
    cluster.publish();
    auto& agent = *cluster.agents_[0];
    REQUIRE(request_cluster::wait_for([&] { return !agent.server_->status().cold_start; }));
    agent.upstream_.on_request_ = stay_silent;
    const auto answer = cluster.send({.method = "POST", .body = "check"});
    REQUIRE(request_cluster::wait_for([&] { return agent.upstream_.calls_.size() == 1; }));
    agent.upstream_.die();
    REQUIRE(request_cluster::wait_for([&] { return agent.server_->status().cold_start; }));
    REQUIRE(request_cluster::wait_for([&] { return !agent.server_->status().cold_start; }));
}

// Guards against a state dump that hides a cold start, or an infinite rate that is no JSON.
TEST_CASE("the state dump shows the admission control")
{
    request_cluster cluster(1, 10);
    cluster.profile_.cold_start_share = 0.1;
    cluster.profile_.cold_start_ramp = 400ms;
    cluster.publish();
    auto& server = *cluster.agents_[0]->server_;
    const frontends::admission_reporter reporter(server);
    server.begin_cold_start();
    REQUIRE(request_cluster::wait_for([&] { return reporter.report()["cold_start"].toBool(); }));
    CHECK(reporter.report()["new_flows_per_second"].isDouble());
    REQUIRE(request_cluster::wait_for([&] { return !reporter.report()["cold_start"].toBool(); }));
    CHECK(reporter.report()["new_flows_per_second"].isNull());
    CHECK(reporter.report()["limit"].toInt() == 10);
}

// Guards against work that reaches an upstream whose agent must not take it, and against a lost request.
TEST_CASE("an agent refuses attempts that are not meant for it")
{
    request_cluster cluster(2);
    auto& agent = *cluster.agents_[0];
    SECTION("another incarnation")
    {
        agent.restart();
    }
    SECTION("its failure domain is out, before the balancer knows")
    {
        agent.settings_.domain = core::failure_domain("zone-b");
        agent.restart();
        cluster.domains_.emplace(core::failure_domain("zone-b"),
            configuration::domain{core::failure_domain("zone-b"), configuration::domain_state::out, {}});
        cluster.publish();
    }
    SECTION("its upstream is draining")
    {
        agent.identity_.publish(std::make_shared<const frontends::agent_identity>(
            frontends::agent_identity{core::upstream_id(1), core::service_id(1), std::nullopt, true}));
    }
    SECTION("it serves another service")
    {
        agent.identity_.publish(std::make_shared<const frontends::agent_identity>(
            frontends::agent_identity{core::upstream_id(1), core::service_id(2), std::nullopt, false}));
    }
    const auto answer = cluster.send({.method = "POST",
        .headers = {{"idempotency-key", cluster.key_owned_by(0)}, {"ibisdyke-key-origin", "generated"}}});
    REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
    CHECK(agent.upstream_.calls_.empty());
}

// Guards against a graceful stop that cuts a running request or takes new ones.
TEST_CASE("a graceful stop finishes open requests and refuses new ones")
{
    request_cluster cluster(2);
    cluster.add_gateway({.listen = any_port()});
    auto& agent = *cluster.agents_[0];
    agent.upstream_.on_request_ = stay_silent;
    const auto open = cluster.send({.headers = {{"idempotency-key", cluster.key_owned_by(0)}}});
    REQUIRE(request_cluster::wait_for([&] { return agent.upstream_.calls_.size() == 1; }));
    bool agent_drained = false;
    bool gateway_drained = false;
    agent.server_->shut_down([&] { agent_drained = true; });
    cluster.gateways_[0]->shut_down([&] { gateway_drained = true; });
    const auto refused = cluster.send({}, 0);
    const auto moved = cluster.send({.headers = {{"idempotency-key", cluster.key_owned_by(0)}}}, 1);
    REQUIRE(request_cluster::wait_for([&] { return refused->closed_.has_value() && moved->complete(); }));
    CHECK(refused->closed_ == transport::close_reason::refused);
    CHECK(moved->status() == "200");
    CHECK(!agent_drained);
    agent.upstream_.calls_[0]->answer("finished");
    REQUIRE(request_cluster::wait_for([&] { return open->complete() && agent_drained && gateway_drained; }));
    CHECK(open->body_ == "finished");
}

// Guards against a stop that never ends because one request does not.
TEST_CASE("a graceful stop is bounded by the drain limit")
{
    request_cluster cluster(1);
    cluster.add_gateway({.listen = any_port(), .drain_limit = 300ms});
    cluster.agents_[0]->upstream_.on_request_ = stay_silent;
    const auto open = cluster.send({}, 1);
    REQUIRE(request_cluster::wait_for([&] { return cluster.agents_[0]->upstream_.calls_.size() == 1; }));
    bool drained = false;
    cluster.gateways_[1]->shut_down([&] { drained = true; });
    REQUIRE(request_cluster::wait_for([&] { return drained; }, 2000));
}

// Guards against an answer to a slow reader that fills the memory of the balancer or the agent, and against small
// requests that wait behind it.
TEST_CASE("a slow reader of a large answer holds bounded memory and delays nobody")
{
    request_cluster cluster(1, 4);
    auto& upstream = cluster.agents_[0]->upstream_;
    constexpr std::size_t large = 40'000'000;
    upstream.on_request_ = [](upstream_call& it) {
        if (it.header(":path") == "/large")
            it.answer_in_parts(large);
        else
            it.answer("small");
    };
    const auto slow = cluster.send({.path = "/large", .read_limit = 1'000'000});
    REQUIRE(request_cluster::wait_for([&] { return slow->body_bytes_ >= 1'000'000; }));
    request_cluster::run_for(300);
    const auto before = upstream.calls_[0]->remaining_bytes_;
    // Caller, balancer and agent each hold at most a stream window and a relay's reserve.
    constexpr std::size_t held_by_hop = 256 * 1024 + 65'536;
    CHECK(large - before <= 1'000'000 + 4 * held_by_hop);
    std::vector<qint64> latencies;
    for (int i = 0; i < 50; ++i) {
        QElapsedTimer timer;
        timer.start();
        const auto small = cluster.send({.path = "/small"});
        REQUIRE(request_cluster::wait_for([&] { return small->complete(); }));
        CHECK(small->body_ == "small");
        latencies.push_back(timer.elapsed());
    }
    std::sort(latencies.begin(), latencies.end());
    CHECK(latencies[45] < 50);
    CHECK(upstream.calls_[0]->remaining_bytes_ == before);
    // Reading on delivers the rest.
    slow->read_limit_.reset();
    slow->stream_->acknowledge(slow->body_bytes_ - 1'000'000);
    REQUIRE(request_cluster::wait_for([&] { return slow->complete(); }));
    CHECK(slow->body_bytes_ == large);
}

// Guards against a reader that has stopped for good holding a slot of the upstream for ever.
TEST_CASE("a reader that takes nothing is reset after the limit")
{
    request_cluster cluster(1);
    cluster.add_gateway({.listen = any_port(), .stalled_reader_limit = 2s});
    auto& upstream = cluster.agents_[0]->upstream_;
    upstream.on_request_ = [](upstream_call& it) { it.answer(std::string(5'000'000, 'd')); };
    const auto stalled = cluster.send({.read_limit = 0}, 1);
    REQUIRE(request_cluster::wait_for([&] { return stalled->closed_.has_value(); }));
    CHECK(!stalled->ended_);
    REQUIRE(request_cluster::wait_for([&] { return upstream.running() == 0; }));
}
