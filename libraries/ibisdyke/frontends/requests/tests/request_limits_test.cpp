#include "request_fixture.h"

#include "ibisdyke/frontends/requests/admission_reporter.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace ibisdyke::testing;
using namespace std::chrono_literals;
using frontends::testing::any_loopback_port;
using frontends::testing::never_answer;

// An upstream must never get more concurrent requests than it has slots, also when many requests arrive at once and one
// of them is cancelled.
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
    CHECK(upstream.peak_running_ <= 2);
    CHECK(upstream.calls_.size() >= 50);
}

// An upstream that has just started would fail under its full share of the load.
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
    CHECK(agent.upstream_.peak_running_ > 5);
    request_cluster::wait_for([&] { return cluster.gateways_[0]->open_requests() == 0; });
}

// A lost connection means that the upstream may have restarted. The cold start must be detected, and it must end.
TEST_CASE("a lost connection puts the upstream into cold start")
{
    request_cluster cluster(1, 10);
    cluster.profile_.cold_start_share = 0.1;
    cluster.profile_.cold_start_ramp = 500ms;
    cluster.publish();
    auto& agent = *cluster.agents_[0];
    REQUIRE(request_cluster::wait_for([&] { return !agent.server_->status().cold_start; }));
    agent.upstream_.on_request_ = never_answer;
    const auto answer = cluster.send({.method = "POST", .body = "check"});
    REQUIRE(request_cluster::wait_for([&] { return agent.upstream_.calls_.size() == 1; }));
    agent.upstream_.kill();
    REQUIRE(request_cluster::wait_for([&] { return agent.server_->status().cold_start; }));
    REQUIRE(request_cluster::wait_for([&] { return !agent.server_->status().cold_start; }));
}

// The state dump must show a cold start, and must show an unlimited rate as null, because JSON has no infinity.
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

// A large answer to a slow reader must not fill the memory of the balancer or the agent, and must not delay small
// requests.
TEST_CASE("a slow reader of a large answer uses bounded memory and does not delay other requests")
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
    // Caller, balancer and agent each buffer at most a stream's window plus the low watermark of window_updater. The
    // check leaves room for one more such buffer.
    constexpr std::size_t max_buffered_by_hop = 256 * 1024 + 65'536;
    CHECK(large - before <= 1'000'000 + 4 * max_buffered_by_hop);
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
    // When the caller reads again, the rest of the answer arrives.
    slow->read_limit_.reset();
    slow->stream_->acknowledge(slow->body_bytes_ - 1'000'000);
    REQUIRE(request_cluster::wait_for([&] { return slow->complete(); }));
    CHECK(slow->body_bytes_ == large);
}

// A reader that has stopped reading must not occupy a slot of the upstream for ever.
TEST_CASE("a stalled reader is reset after the limit")
{
    request_cluster cluster(1);
    cluster.add_gateway({.listen = any_loopback_port(), .stalled_reader_limit = 2s});
    auto& upstream = cluster.agents_[0]->upstream_;
    upstream.on_request_ = [](upstream_call& it) { it.answer(std::string(5'000'000, 'd')); };
    const auto stalled = cluster.send({.read_limit = 0}, 1);
    REQUIRE(request_cluster::wait_for([&] { return stalled->closed_.has_value(); }));
    CHECK(!stalled->ended_);
    REQUIRE(request_cluster::wait_for([&] { return upstream.running() == 0; }));
}
