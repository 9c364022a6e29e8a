#include "request_fixture.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace ibisdyke::testing;
using namespace std::chrono_literals;
using frontends::testing::any_loopback_port;
using frontends::testing::never_answer;

namespace {

caller_options keyed_post(const std::string& key, const std::string& first_sent)
{
    return frontends::testing::keyed_post(key, first_sent, "acceptance");
}

} // namespace

// A request must not run again when the caller lost the answer and resends it.
TEST_CASE("a resend of an answered request gets the stored answer")
{
    request_cluster cluster(3);
    cluster.add_gateway({.listen = any_loopback_port()});
    const auto request = keyed_post(cluster.key_owned_by(1), wall_clock_text(0ms));
    cluster.agents_[1]->upstream_.on_request_ = [](upstream_call& it) { it.answer("accepted by engineer 4"); };
    const auto first = cluster.send(request, 0);
    REQUIRE(request_cluster::wait_for([&] { return first->complete(); }));
    const auto second = cluster.send(request, 1);
    REQUIRE(request_cluster::wait_for([&] { return second->complete(); }));
    CHECK(second->status() == "200");
    CHECK(second->body_ == first->body_);
    CHECK(second->header("content-type") == "text/plain");
    CHECK(cluster.total_calls() == 1);
}

// One key may arrive through two balancers at the same time; it must not run twice.
TEST_CASE("a duplicate that arrives while the request runs waits for the same answer")
{
    request_cluster cluster(2);
    cluster.add_gateway({.listen = any_loopback_port()});
    auto& upstream = cluster.agents_[0]->upstream_;
    upstream.on_request_ = never_answer;
    const auto request = keyed_post(cluster.key_owned_by(0), wall_clock_text(0ms));
    const auto first = cluster.send(request, 0);
    const auto second = cluster.send(request, 1);
    REQUIRE(request_cluster::wait_for([&] { return cluster.agents_[0]->server_->open_requests() == 2; }));
    REQUIRE(request_cluster::wait_for([&] { return upstream.calls_.size() == 1; }));
    upstream.calls_[0]->answer("accepted");
    REQUIRE(request_cluster::wait_for([&] { return first->complete() && second->complete(); }));
    CHECK(first->body_ == "accepted");
    CHECK(second->body_ == "accepted");
    CHECK(cluster.total_calls() == 1);
}

// When a balancer dies while a request runs, the answer must not get lost and the request must not run again.
TEST_CASE("a resend after the death of a balancer gets the answer of the first send")
{
    request_cluster cluster(2);
    cluster.add_gateway({.listen = any_loopback_port()});
    auto& upstream = cluster.agents_[0]->upstream_;
    upstream.on_request_ = never_answer;
    const auto request = keyed_post(cluster.key_owned_by(0), wall_clock_text(0ms));
    const auto first = cluster.send(request, 0);
    REQUIRE(request_cluster::wait_for([&] { return upstream.calls_.size() == 1 && upstream.calls_[0]->ended_; }));
    cluster.kill_gateway(0);
    REQUIRE(request_cluster::wait_for([&] { return first->closed_.has_value(); }));
    SECTION("the resend arrives while the request runs")
    {
        const auto second = cluster.send(request, 1);
        REQUIRE(request_cluster::wait_for([&] { return cluster.agents_[0]->server_->open_requests() == 2; }));
        upstream.calls_[0]->answer("accepted");
        REQUIRE(request_cluster::wait_for([&] { return second->complete(); }));
        CHECK(second->body_ == "accepted");
    }
    SECTION("the resend arrives after the answer")
    {
        upstream.calls_[0]->answer("accepted");
        REQUIRE(request_cluster::wait_for([&] { return cluster.agents_[0]->server_->open_requests() == 0; }));
        const auto second = cluster.send(request, 1);
        REQUIRE(request_cluster::wait_for([&] { return second->complete(); }));
        CHECK(second->body_ == "accepted");
    }
    CHECK(cluster.total_calls() == 1);
}

// When the owner of a key drains, the key gets a new owner. The new owner must not run a request that the old owner has
// run or is running.
TEST_CASE("a resend that reaches another agent finds the record at the old owner")
{
    request_cluster cluster(3);
    const auto request = keyed_post(cluster.key_owned_by(0), wall_clock_text(0ms));
    SECTION("the request was answered")
    {
        const auto first = cluster.send(request);
        REQUIRE(request_cluster::wait_for([&] { return first->complete(); }));
        cluster.agents_[0]->recorded_state_ = membership::upstream_state::draining;
        cluster.publish();
        const auto second = cluster.send(request);
        REQUIRE(request_cluster::wait_for([&] { return second->complete(); }));
        CHECK(second->body_ == "ok");
    }
    SECTION("the request still runs")
    {
        cluster.agents_[0]->upstream_.on_request_ = never_answer;
        const auto first = cluster.send(request);
        REQUIRE(request_cluster::wait_for([&] { return cluster.total_calls() == 1; }));
        cluster.agents_[0]->recorded_state_ = membership::upstream_state::draining;
        cluster.publish();
        const auto second = cluster.send(request);
        request_cluster::run_for(100);
        cluster.agents_[0]->upstream_.calls_[0]->answer("late");
        REQUIRE(request_cluster::wait_for([&] { return first->complete() && second->complete(); }));
        CHECK(second->body_ == "late");
    }
    CHECK(cluster.total_calls() == 1);
}

// A balancer may send a new key to a candidate other than the owner. A resend at the owner must not run the key again.
TEST_CASE("a key that ran at a candidate other than its owner runs only once")
{
    request_cluster cluster(3);
    cluster.add_gateway({.listen = any_loopback_port()});
    auto& owner = *cluster.agents_[0];
    owner.upstream_.on_request_ = never_answer;
    const auto occupying = cluster.send(keyed_post(cluster.key_owned_by(0), wall_clock_text(0ms)), 0);
    REQUIRE(request_cluster::wait_for([&] { return owner.upstream_.calls_.size() == 1; }));
    const auto key = cluster.key_owned_by(0, 1);
    const auto request = keyed_post(key, wall_clock_text(0ms));
    for (std::size_t i = 1; i < 3; ++i)
        cluster.agents_[i]->upstream_.on_request_ = never_answer;
    const auto first = cluster.send(request, 0);
    REQUIRE(request_cluster::wait_for([&] { return cluster.total_calls() == 2; }));
    REQUIRE(owner.upstream_.calls_.size() == 1);
    auto& runner = *cluster.agents_[cluster.agents_[1]->upstream_.calls_.empty() ? 2 : 1];
    SECTION("a resend at the owner through another balancer waits for the answer")
    {
        const auto resend = cluster.send(request, 1);
        REQUIRE(request_cluster::wait_for([&] { return owner.server_->open_requests() == 2; }));
        runner.upstream_.calls_[0]->answer("accepted");
        REQUIRE(request_cluster::wait_for([&] { return first->complete() && resend->complete(); }));
        CHECK(resend->body_ == "accepted");
    }
    SECTION("a resend at the owner gets the stored answer, also after the owner has died")
    {
        runner.upstream_.calls_[0]->answer("accepted");
        REQUIRE(request_cluster::wait_for([&] { return first->complete(); }));
        const auto resend = cluster.send(request, 1);
        REQUIRE(request_cluster::wait_for([&] { return resend->complete(); }));
        CHECK(resend->body_ == "accepted");
        owner.kill();
        const auto later = cluster.send(request, 1);
        REQUIRE(request_cluster::wait_for([&] { return later->complete(); }));
        CHECK(later->body_ == "accepted");
    }
    SECTION("the agent that runs the key dies")
    {
        runner.kill();
        const auto resend = cluster.send(request, 1);
        REQUIRE(request_cluster::wait_for([&] { return first->complete() && resend->complete(); }));
        CHECK(first->verdict() == "may-have-run");
        CHECK(resend->verdict() == "may-have-run");
    }
    CHECK(cluster.total_calls() == 2);
}

// A peer that does not answer a lookup may have run the key, so a resend must not run without its answer.
TEST_CASE("a resend does not run when the answer to its claim is lost")
{
    request_cluster cluster(2);
    fake_upstream silent_agent(nullptr);
    silent_agent.on_request_ = never_answer;
    cluster.agents_[1]->advertised_endpoint_ = silent_agent.server_->address();
    cluster.publish();
    auto request = keyed_post(cluster.key_owned_by(0), wall_clock_text(0ms));
    request.headers.push_back({"ibisdyke-deadline-ms", "800"});
    const auto resend = cluster.send(request);
    REQUIRE(request_cluster::wait_for([&] { return resend->complete(); }));
    CHECK(resend->verdict() == "may-have-run");
    CHECK(silent_agent.calls_.size() == 1);
    CHECK(cluster.total_calls() == 0);
    delete std::exchange(silent_agent.server_, nullptr);
}

// Balancers with different tables may send one key to two agents at once. The agents must not both run it.
TEST_CASE("of two agents that claim a key at the same time only one runs it")
{
    request_cluster cluster(3);
    // The second balancer keeps a table in which the first agent drains and gets no new work.
    core::snapshot_publisher<routing::routing_table> other_routes;
    cluster.agents_[0]->recorded_state_ = membership::upstream_state::draining;
    cluster.publish();
    other_routes.publish(cluster.routes_.load());
    cluster.agents_[0]->recorded_state_ = membership::upstream_state::active;
    cluster.publish();
    cluster.add_gateway({.listen = any_loopback_port()});
    frontends::request_gateway other({.listen = any_loopback_port()},
        {cluster.state_, other_routes, cluster.counters_, nullptr, {}},
        std::make_unique<requests::chain_order_selector>(), nullptr);
    cluster.callers_[1] =
        std::make_unique<transport::http2_client>(other.address(), 0, transport::http2_limits{}, nullptr, nullptr);
    for (int i = 0; i < 40; ++i) {
        const auto calls = cluster.total_calls();
        const auto request = keyed_post("contested-" + std::to_string(i), wall_clock_text(0ms));
        const auto first = cluster.send(request, 0);
        const auto second = cluster.send(request, 1);
        REQUIRE(request_cluster::wait_for([&] { return first->complete() && second->complete(); }));
        CHECK(cluster.total_calls() <= calls + 1);
        // The request that lost the conflict has not run, so neither caller gets may-have-run.
        CHECK(first->verdict() != "may-have-run");
        CHECK(second->verdict() != "may-have-run");
    }
}

// An agent that restarts loses its records. It must not run keys that the earlier process may have run.
TEST_CASE("after a restart of the agent, keys first sent earlier get may-have-run")
{
    request_cluster cluster(1);
    auto& agent = *cluster.agents_[0];
    const auto old = keyed_post("old", wall_clock_text(-5s));
    const auto first = cluster.send(old);
    REQUIRE(request_cluster::wait_for([&] { return first->complete(); }));
    agent.restart();
    cluster.publish();
    const auto resend = cluster.send(old);
    REQUIRE(request_cluster::wait_for([&] { return resend->complete(); }));
    CHECK(resend->verdict() == "may-have-run");
    // Without the time of the first send, the age of a key is unknown.
    const auto unknown = cluster.send({.method = "POST", .body = "x", .headers = {{"idempotency-key", "unknown"}}});
    REQUIRE(request_cluster::wait_for([&] { return unknown->complete(); }));
    CHECK(unknown->verdict() == "may-have-run");
    // A request without a key from the caller cannot be a resend.
    const auto fresh = cluster.send({.method = "POST", .body = "x"});
    REQUIRE(request_cluster::wait_for([&] { return fresh->complete(); }));
    CHECK(fresh->status() == "200");
    const auto later = cluster.send(keyed_post("later", wall_clock_text(1900ms)));
    REQUIRE(request_cluster::wait_for([&] { return later->complete(); }));
    CHECK(later->verdict() == "may-have-run");
    request_cluster::run_for(2100);
    const auto safe = cluster.send(keyed_post("safe", wall_clock_text(0ms)));
    REQUIRE(request_cluster::wait_for([&] { return safe->complete(); }));
    CHECK(safe->status() == "200");
}

// When the only agent that held the record of a key has left, a resend must not run the key again.
TEST_CASE("after the departure of a member, keys first sent earlier get may-have-run")
{
    request_cluster cluster(3);
    const auto request = keyed_post(cluster.key_owned_by(0), wall_clock_text(-5s));
    const auto first = cluster.send(request);
    REQUIRE(request_cluster::wait_for([&] { return first->complete(); }));
    cluster.agents_[0]->kill();
    cluster.agents_[0]->recorded_state_ = membership::upstream_state::gone;
    cluster.publish();
    const auto resend = cluster.send(request);
    REQUIRE(request_cluster::wait_for([&] { return resend->complete(); }));
    CHECK(resend->verdict() == "may-have-run");
    CHECK(cluster.total_calls() == 1);
    request_cluster::run_for(2100);
    const auto later = cluster.send(keyed_post("later", wall_clock_text(0ms)));
    REQUIRE(request_cluster::wait_for([&] { return later->complete(); }));
    CHECK(later->status() == "200");
}

// After a planned stop of one agent, the other agents must be able to decide keys without waiting for the end of its
// lease.
TEST_CASE("other agents can decide keyed requests during and after the stop of an agent")
{
    request_cluster cluster(3);
    auto& leaving = *cluster.agents_[0];
    const auto old = keyed_post(cluster.key_owned_by(0), wall_clock_text(0ms));
    const auto first = cluster.send(old);
    REQUIRE(request_cluster::wait_for([&] { return first->complete(); }));
    auto unknown = old;
    unknown.token = "token-b";
    const auto not_resent = cluster.send(unknown);
    REQUIRE(request_cluster::wait_for([&] { return not_resent->complete(); }));
    leaving.recorded_state_ = membership::upstream_state::draining;
    cluster.publish();
    bool drained = false;
    leaving.server_->shut_down([&] { drained = true; });
    for (int i = 0; i < 10; ++i) {
        const auto answer = cluster.send(keyed_post("while-" + std::to_string(i), wall_clock_text(0ms)));
        REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
        CHECK(answer->status() == "200");
    }
    const auto resend = cluster.send(old);
    REQUIRE(request_cluster::wait_for([&] { return resend->complete(); }));
    CHECK(resend->status() == "200");
    REQUIRE(request_cluster::wait_for([&] { return drained; }));
    leaving.kill();
    // A peer that has looked up an answer keeps a copy of it; the other records are lost.
    const auto copied = cluster.send(old);
    REQUIRE(request_cluster::wait_for([&] { return copied->complete(); }));
    CHECK(copied->body_ == "ok");
    const auto lost = cluster.send(unknown);
    REQUIRE(request_cluster::wait_for([&] { return lost->complete(); }));
    CHECK(lost->verdict() == "may-have-run");
    request_cluster::run_for(4200);
    for (int i = 0; i < 10; ++i) {
        const auto answer = cluster.send(keyed_post("after-" + std::to_string(i), wall_clock_text(0ms)));
        REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
        CHECK(answer->status() == "200");
    }
    CHECK(cluster.total_calls() == 22);
}

// A resend may overtake the first send and run at an agent that dies afterwards. The late first send must not run then.
TEST_CASE("a first send overtaken by a resend does not run when the agent that ran the resend is unreachable")
{
    request_cluster cluster(2);
    auto request = keyed_post(cluster.key_owned_by(0), wall_clock_text(0ms));
    const auto resend = cluster.send(request);
    REQUIRE(request_cluster::wait_for([&] { return resend->complete(); }));
    CHECK(cluster.total_calls() == 1);
    cluster.agents_[0]->kill();
    request.headers.push_back({"ibisdyke-send-count", "1"});
    const auto late = cluster.send(request);
    REQUIRE(request_cluster::wait_for([&] { return late->complete(); }));
    CHECK(late->verdict() == "may-have-run");
    CHECK(cluster.total_calls() == 1);
}

// After the loss of one agent, resends of keys that it never claimed must run. Otherwise they would get may-have-run
// for seconds.
TEST_CASE("a resend is answered when an agent that has not seen its key is missing")
{
    request_cluster cluster(4);
    fake_upstream silent_agent(nullptr);
    silent_agent.on_request_ = never_answer;
    for (const auto& it : cluster.agents_)
        it->make_established();
    auto& missing = *cluster.agents_[1];
    SECTION("the agent has crashed")
    {
        missing.kill();
    }
    SECTION("the agent has crashed and its departure is recorded")
    {
        missing.kill();
        missing.recorded_state_ = membership::upstream_state::gone;
        cluster.publish();
    }
    SECTION("the agent does not answer")
    {
        missing.advertised_endpoint_ = silent_agent.server_->address();
        cluster.publish();
    }
    SECTION("the agent has restarted")
    {
        missing.restart();
        cluster.publish();
    }
    for (int i = 0; i < 10; ++i) {
        const auto key = cluster.key_owned_by(static_cast<std::size_t>(i % 2) * 2, static_cast<std::size_t>(i));
        const auto resend = cluster.send(keyed_post(key, wall_clock_text(-1s)));
        REQUIRE(request_cluster::wait_for([&] { return resend->complete(); }));
        CHECK(resend->status() == "200");
    }
    CHECK(cluster.total_calls() == 10);
    delete std::exchange(silent_agent.server_, nullptr);
}

// A missing agent may have run a key that it claimed, so a resend of the key must not run.
TEST_CASE("a resend does not run when a missing agent has claimed its key")
{
    request_cluster cluster(4);
    for (const auto& it : cluster.agents_)
        it->make_established();
    auto& missing = *cluster.agents_[1];
    const auto request = keyed_post(cluster.key_owned_by(1), wall_clock_text(-1s));
    const auto first = cluster.send(request);
    REQUIRE(request_cluster::wait_for([&] { return first->complete(); }));
    REQUIRE(missing.upstream_.calls_.size() == 1);
    SECTION("the agent has crashed")
    {
        missing.kill();
    }
    SECTION("the agent has crashed and its departure is recorded")
    {
        missing.kill();
        missing.recorded_state_ = membership::upstream_state::gone;
        cluster.publish();
    }
    SECTION("the agent has restarted")
    {
        missing.restart();
        cluster.publish();
    }
    auto overtaken = request;
    overtaken.headers.push_back({"ibisdyke-send-count", "1"});
    for (const auto& it : {request, overtaken, request}) {
        const auto resend = cluster.send(it);
        REQUIRE(request_cluster::wait_for([&] { return resend->complete(); }));
        CHECK(resend->verdict() == "may-have-run");
    }
    CHECK(cluster.total_calls() == 1);
}

// When two agents are missing, one may have run the key and only the other may know of the claim. A resend must not
// run.
TEST_CASE("a resend does not run when two agents are missing")
{
    request_cluster cluster(4);
    for (const auto& it : cluster.agents_)
        it->make_established();
    const auto request = keyed_post(cluster.key_owned_by(0), wall_clock_text(-1s));
    cluster.agents_[1]->kill();
    cluster.agents_[2]->kill();
    const auto resend = cluster.send(request);
    REQUIRE(request_cluster::wait_for([&] { return resend->complete(); }));
    CHECK(resend->verdict() == "may-have-run");
    CHECK(cluster.total_calls() == 0);
}

// A neighbour must not get the stored answer of another neighbour by choosing the same key.
TEST_CASE("the same key of different neighbours names different requests")
{
    request_cluster cluster(1);
    auto& upstream = cluster.agents_[0]->upstream_;
    upstream.on_request_ = [&](upstream_call& it) { it.answer("answer " + std::to_string(upstream.calls_.size())); };
    auto request = keyed_post("1", wall_clock_text(0ms));
    const auto first = cluster.send(request);
    REQUIRE(request_cluster::wait_for([&] { return first->complete(); }));
    request.token = "token-b";
    const auto second = cluster.send(request);
    REQUIRE(request_cluster::wait_for([&] { return second->complete(); }));
    CHECK(first->body_ == "answer 1");
    CHECK(second->body_ == "answer 2");
}

// An answer that is too large to store must not be replayed in part.
TEST_CASE("a resend gets may-have-run when the answer was too large to store")
{
    request_cluster cluster(1);
    cluster.agents_[0]->upstream_.on_request_ = [](upstream_call& it) { it.answer(std::string(2'000'000, 'r')); };
    const auto request = keyed_post("large", wall_clock_text(0ms));
    const auto first = cluster.send(request);
    REQUIRE(request_cluster::wait_for([&] { return first->complete(); }));
    CHECK(first->body_bytes_ == 2'000'000);
    const auto second = cluster.send(request);
    REQUIRE(request_cluster::wait_for([&] { return second->complete(); }));
    CHECK(second->verdict() == "may-have-run");
    CHECK(cluster.total_calls() == 1);
}

// Usage must not be lost or recorded for another neighbour.
TEST_CASE("requests are recorded as usage of the caller's neighbour")
{
    request_cluster cluster(1);
    const auto first = cluster.send({});
    const auto second = cluster.send({.token = "token-b"});
    const auto third = cluster.send({.token = "token-b"});
    REQUIRE(request_cluster::wait_for([&] { return first->complete() && second->complete() && third->complete(); }));
    const auto report = cluster.agents_[0]->usage_->report();
    std::map<std::string, std::uint64_t> requests;
    for (const auto& [key, counters] : report.usage)
        requests[key.neighbour.value()] += counters.requests;
    CHECK(requests == std::map<std::string, std::uint64_t>{{"riechwerk", 1}, {"moto-salama", 2}});
}
