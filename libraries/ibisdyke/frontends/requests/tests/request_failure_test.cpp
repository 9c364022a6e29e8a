#include "request_fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace ibisdyke::testing;
using namespace std::chrono_literals;
using frontends::testing::any_loopback_port;
using frontends::testing::never_answer;

namespace {

/// Returns a POST request with a caller's key that the agent with index `owner` owns.
caller_options keyed_post(const request_cluster& cluster, std::size_t owner)
{
    return frontends::testing::keyed_post(cluster.key_owned_by(owner), wall_clock_text(0ms), "check");
}

} // namespace

// A request must not fail when another upstream can serve it.
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

// A POST that an upstream has begun to process must not be sent to another one, which would run it a second time.
TEST_CASE("a non-idempotent request that fails while running is not retried")
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

TEST_CASE("an idempotent request that fails while running is retried at another upstream")
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

// If the first attempt may have run, a refusal of the second one must not make the verdict "not run".
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

// In each section, the upstream process dies at another stage of a request.
TEST_CASE("the death of an upstream causes no duplicate run, false verdict or seemingly complete partial answer")
{
    request_cluster cluster(2);
    auto& upstream = cluster.agents_[0]->upstream_;
    SECTION("before the request reaches it")
    {
        upstream.kill();
        const auto answer = cluster.send(keyed_post(cluster, 0));
        REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
        CHECK(answer->status() == "200");
        CHECK(cluster.agents_[1]->upstream_.calls_.size() == 1);
    }
    SECTION("while the request runs")
    {
        upstream.on_request_ = never_answer;
        const auto answer = cluster.send(keyed_post(cluster, 0));
        REQUIRE(request_cluster::wait_for([&] { return upstream.calls_.size() == 1; }));
        upstream.kill();
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
        upstream.kill();
        REQUIRE(request_cluster::wait_for([&] { return answer->closed_.has_value(); }));
        CHECK(!answer->ended_);
        CHECK(answer->closed_ != transport::close_reason::completed);
        CHECK(answer->closed_ != transport::close_reason::refused);
    }
}

// In each section, the agent process dies at another stage of a request.
TEST_CASE("the death of an agent causes no duplicate run, false verdict or seemingly complete partial answer")
{
    request_cluster cluster(2);
    auto& agent = *cluster.agents_[0];
    SECTION("before an idempotent request reaches it")
    {
        agent.kill();
        const auto answer = cluster.send({.headers = {{"idempotency-key", cluster.key_owned_by(0)}}});
        REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
        CHECK(answer->status() == "200");
    }
    SECTION("before a keyed request reaches it, so that its records cannot be looked up")
    {
        agent.kill();
        const auto answer = cluster.send(keyed_post(cluster, 0));
        REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
        CHECK(answer->verdict() == "may-have-run");
        CHECK(cluster.total_calls() == 0);
    }
    SECTION("while the request runs")
    {
        agent.upstream_.on_request_ = never_answer;
        const auto answer = cluster.send(keyed_post(cluster, 0));
        REQUIRE(request_cluster::wait_for([&] { return agent.upstream_.calls_.size() == 1; }));
        agent.kill();
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
        agent.kill();
        REQUIRE(request_cluster::wait_for([&] { return answer->closed_.has_value(); }));
        CHECK(!answer->ended_);
    }
}

namespace {

/// Takes the place of the cluster's first agent. The test decides how it answers attempts.
class fake_agent {
public:
    explicit fake_agent(request_cluster& cluster)
        : server_(&cluster.application_)
    {
        cluster.agents_[0]->advertised_endpoint_ = server_.server_->address();
        cluster.publish();
    }

    fake_upstream server_;
};

} // namespace

// A caller must not get the answer to another request.
TEST_CASE("an answer that names another attempt is not relayed")
{
    request_cluster cluster(1);
    fake_agent replacement(cluster);
    replacement.server_.on_request_ = [](upstream_call& call) {
        call.stream_->send_headers({{":status", "200"}, {"ibisdyke-attempt", "another"}}, transport::end_of_stream::no);
        call.stream_->send_data("the dossier of somebody else", transport::end_of_stream::yes);
    };
    const auto answer = cluster.send({.method = "POST", .body = "check"});
    REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
    CHECK(answer->verdict() == "may-have-run");
    CHECK(answer->body_.empty());
}

// A false "not run" would make the caller resend a POST that has run.
TEST_CASE("a refusal that other evidence contradicts does not count as not run")
{
    request_cluster cluster(1);
    fake_agent replacement(cluster);
    SECTION("a verdict for another attempt")
    {
        replacement.server_.on_request_ = [](upstream_call& call) {
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
        replacement.server_.on_request_ = [](upstream_call& call) {
            call.stream_->send_headers({{":status", "200"}, {"ibisdyke-attempt", call.header("ibisdyke-attempt")}},
                transport::end_of_stream::no);
            call.stream_->send_data("begun", transport::end_of_stream::no);
        };
        const auto answer = cluster.send({.method = "POST", .body = "check"});
        REQUIRE(request_cluster::wait_for([&] { return !answer->body_.empty(); }));
        replacement.server_.calls_[0]->stream_->reset(transport::reset_reason::refused);
        REQUIRE(request_cluster::wait_for([&] { return answer->closed_.has_value(); }));
        CHECK(answer->closed_ == transport::close_reason::reset);
    }
    SECTION("a connection that is lost after the request was sent")
    {
        replacement.server_.on_request_ = never_answer;
        const auto answer = cluster.send({.method = "POST", .body = "check"});
        REQUIRE(request_cluster::wait_for([&] { return replacement.server_.calls_.size() == 1; }));
        replacement.server_.kill();
        REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
        CHECK(answer->verdict() == "may-have-run");
    }
}

// A late answer must not reach the caller after its verdict, nor another caller.
TEST_CASE("an answer after the deadline is dropped")
{
    request_cluster cluster(1);
    auto& upstream = cluster.agents_[0]->upstream_;
    upstream.on_request_ = never_answer;
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

// The upstream must not keep working on a request that the caller has cancelled.
TEST_CASE("a caller's cancellation reaches the upstream")
{
    request_cluster cluster(1, 1);
    auto& upstream = cluster.agents_[0]->upstream_;
    upstream.on_request_ = never_answer;
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

// When every upstream fails, retries without a budget would send each request three times (a retry storm).
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
    // The budget allows 10% of the requests plus one retry per second of the 10 s window.
    CHECK(cluster.counter("request_retries") <= count / 10 + 10);
    CHECK(cluster.counter("request_attempts") <= count + count / 10 + 10);
    CHECK(cluster.counter("requests_not_run") == count);
}

// Requests must not reach an upstream whose agent must refuse them, and must still get an answer or a verdict.
TEST_CASE("an agent refuses attempts that it must not run")
{
    request_cluster cluster(2);
    auto& agent = *cluster.agents_[0];
    SECTION("the attempt is for another incarnation")
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
    SECTION("its upstream belongs to another service")
    {
        agent.identity_.publish(std::make_shared<const frontends::agent_identity>(
            frontends::agent_identity{core::upstream_id(1), core::service_id(2), std::nullopt, false}));
    }
    const auto answer = cluster.send({.method = "POST",
        .headers = {{"idempotency-key", cluster.key_owned_by(0)}, {"ibisdyke-key-origin", "generated"}}});
    REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
    CHECK(agent.upstream_.calls_.empty());
}

// A graceful stop must neither abort running requests nor accept new ones.
TEST_CASE("a graceful stop finishes open requests and refuses new ones")
{
    request_cluster cluster(2);
    cluster.add_gateway({.listen = any_loopback_port()});
    auto& agent = *cluster.agents_[0];
    agent.upstream_.on_request_ = never_answer;
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

// A request that never ends must not block a graceful stop for ever.
TEST_CASE("a graceful stop is bounded by the drain limit")
{
    request_cluster cluster(1);
    cluster.add_gateway({.listen = any_loopback_port(), .drain_limit = 300ms});
    cluster.agents_[0]->upstream_.on_request_ = never_answer;
    const auto open = cluster.send({}, 1);
    REQUIRE(request_cluster::wait_for([&] { return cluster.agents_[0]->upstream_.calls_.size() == 1; }));
    bool drained = false;
    cluster.gateways_[1]->shut_down([&] { drained = true; });
    REQUIRE(request_cluster::wait_for([&] { return drained; }, 2000));
}
