#include "ibisdyke/testing/request_cluster.h"

#include "ibisdyke/frontends/requests/request_thread.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace ibisdyke::testing;
using namespace std::chrono_literals;

TEST_CASE("a request goes from caller to upstream and back")
{
    request_cluster cluster(1);
    auto& upstream = cluster.agents_[0]->upstream_;
    upstream.on_request_ = [](upstream_call& it) { it.answer("dossier of " + it.body_); };
    const auto answer =
        cluster.send({.method = "POST", .path = "/check?batch=7", .body = "batch 7", .headers = {{"x-trace", "t1"}}});
    REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
    CHECK(answer->status() == "200");
    CHECK(answer->verdict() == "answered");
    CHECK(answer->body_ == "dossier of batch 7");
    REQUIRE(upstream.calls_.size() == 1);
    const auto& call = *upstream.calls_[0];
    CHECK(call.header(":authority") == "dossier-store");
    CHECK(call.header(":path") == "/check?batch=7");
    CHECK(call.header("x-trace") == "t1");
    CHECK(!call.header("idempotency-key").empty());
    const auto remaining = std::stoi(call.header("ibisdyke-deadline-ms"));
    CHECK(remaining > 8000);
    CHECK(remaining <= 10'000);
}

// If an interim response were taken for the answer, the caller would never get the real one.
TEST_CASE("interim responses of an upstream are skipped")
{
    using namespace std::string_literals;
    const auto frame = [](char type, char flags, const std::string& payload) {
        return "\0\0"s + static_cast<char>(payload.size()) + type + flags + "\0\0\0\1"s + payload;
    };
    constexpr char data = 0;
    constexpr char headers = 1;
    constexpr char end_stream = 1;
    constexpr char end_headers = 4;
    // An HPACK literal field with the name ":status" (index 8 of the static table).
    const auto head = [&](const std::string& status) { return frame(headers, end_headers, "\x08\x03"s + status); };
    const auto settings = "\0\0\0\4\0\0\0\0\0"s;
    request_cluster cluster(1);
    QTcpServer upstream;
    REQUIRE(upstream.listen(QHostAddress::LocalHost));
    std::string sent = settings + head("100") + head("103") + head("200") + frame(data, end_stream, "done");
    std::string expected = "200";
    SECTION("before an answer") { }
    SECTION("before a refusal, which then does not prove that nothing ran")
    {
        sent = settings + head("103") + frame(3, 0, "\0\0\0\7"s);
        expected = "504";
    }
    QObject::connect(&upstream, &QTcpServer::newConnection, &upstream, [&] {
        auto* const socket = upstream.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket, &sent] {
            // Frames of a stream are valid only after the client has opened it.
            if (socket->readAll().size() < 100)
                return;
            const auto bytes = std::exchange(sent, {});
            socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
        });
    });
    cluster.agents_[0]->settings_.upstream =
        core::endpoint::create("127.0.0.1:" + std::to_string(upstream.serverPort()));
    cluster.agents_[0]->restart();
    cluster.publish();
    const auto answer = cluster.send({.method = "POST", .body = "check"});
    REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
    CHECK(answer->status() == expected);
    CHECK(answer->body_ == (expected == "200" ? "done" : ""));
}

// Upstreams are run by other organisations. They must not get the caller's token or the system's own fields.
TEST_CASE("the token and the fields of the system do not reach the upstream")
{
    request_cluster cluster(1);
    const auto answer = cluster.send({.headers = {{"ibisdyke-neighbour", "moto-salama"}}});
    REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
    const auto& call = *cluster.agents_[0]->upstream_.calls_.at(0);
    CHECK(call.header("authorization").empty());
    CHECK(call.header("ibisdyke-neighbour").empty());
    CHECK(call.header("ibisdyke-attempt").empty());
    CHECK(answer->header("ibisdyke-attempt").empty());
}

// An invalid request must not run, and its response must carry a verdict.
TEST_CASE("rejected requests get an error status and the verdict not-run")
{
    request_cluster cluster(1);
    const auto future = wall_clock_text(60s);
    const std::vector<std::pair<caller_options, std::string>> cases{
        {{.service = "no-such-service"}, "404"},
        {{.token = ""}, "401"},
        {{.token = "wrong"}, "401"},
        {{.headers = {{"idempotency-key", std::string(257, 'k')}}}, "400"},
        {{.headers = {{"ibisdyke-deadline-ms", "soon"}}}, "400"},
        {{.headers = {{"ibisdyke-first-sent", "yesterday"}}}, "400"},
        {{.headers = {{"ibisdyke-first-sent", future}}}, "400"},
        {{.method = "PUT", .headers = {{"content-length", "99000000"}}, .end = transport::end_of_stream::no}, "413"},
    };
    for (const auto& [options, status] : cases) {
        const auto answer = cluster.send(options);
        REQUIRE(request_cluster::wait_for([&] { return !answer->status().empty(); }));
        CHECK(answer->status() == status);
        CHECK(answer->verdict() == "not-run");
    }
    CHECK(cluster.agents_[0]->upstream_.calls_.empty());
}

// A body without a declared length can exceed the limit while it is being sent on. The request must be aborted, and
// must not be reported as not run.
TEST_CASE("an oversized body without a declared length gets status 413 and may-have-run")
{
    request_cluster cluster(1);
    cluster.add_gateway({.listen = core::endpoint::create("127.0.0.1:0"), .max_request_bytes = 100'000});
    const auto answer = cluster.send({.method = "PUT", .body = std::string(200'000, 'x')}, 1);
    REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
    CHECK(answer->status() == "413");
    CHECK(answer->verdict() == "may-have-run");
}

TEST_CASE("bodies larger than the flow-control windows pass unchanged in both directions")
{
    request_cluster cluster(1);
    cluster.agents_[0]->upstream_.on_request_ = [](upstream_call& it) { it.answer(it.body_ + it.body_); };
    const std::string body(3'000'000, 'b');
    const auto answer = cluster.send({.method = "PUT", .body = body});
    REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
    CHECK(answer->body_ == body + body);
}

// Requests handled on the control thread would delay heartbeats.
TEST_CASE("gateway and server run on a request thread of their own")
{
    request_cluster cluster(1);
    frontends::request_thread thread("requests");
    frontends::request_gateway* gateway = nullptr;
    thread.run([&] {
        gateway = new frontends::request_gateway({.listen = core::endpoint::create("127.0.0.1:0")},
            {cluster.state_, cluster.routes_, cluster.counters_, nullptr, {}},
            std::make_unique<requests::chain_order_selector>(), thread.parent());
    });
    transport::http2_client client(gateway->address(), 0, {}, nullptr, nullptr);
    const auto answer = std::make_shared<caller_answer>();
    answer->stream_ = client.open_stream({{":method", "GET"}, {":scheme", "http"}, {":authority", "dossier-store"},
                                             {":path", "/"}, {"authorization", "Bearer token-a"}},
        transport::end_of_stream::yes, answer);
    REQUIRE(request_cluster::wait_for([&] { return answer->complete(); }));
    CHECK(answer->body_ == "ok");
    CHECK_THROWS_AS(thread.run([] { throw std::runtime_error("reported"); }), std::runtime_error);
}
