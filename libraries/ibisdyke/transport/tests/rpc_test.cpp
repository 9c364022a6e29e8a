#include "ibisdyke/testing/event_loop.h"
#include "ibisdyke/transport/http2_client.h"
#include "ibisdyke/transport/http2_server.h"
#include "ibisdyke/transport/rpc_client.h"
#include "ibisdyke/transport/rpc_router.h"

#include <QCoreApplication>

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace std::chrono_literals;

namespace {

/// A server and a client that are connected over loopback and share one event loop.
class rpc_fixture {
public:
    template <typename Condition>
    bool wait_for(Condition condition)
    {
        return testing::wait_for(condition, std::chrono::seconds(5));
    }

    int argc_ = 0;
    QCoreApplication application_{argc_, nullptr};
    transport::rpc_router router_;
    transport::http2_server* server_ =
        transport::http2_server::create(core::endpoint::create("127.0.0.1:0"), {}, router_, nullptr, &application_);
    transport::http2_client client_{server_->address(), 0, {}, nullptr, &application_};
    transport::rpc_client rpc_{client_};
};

} // namespace

TEST_CASE_METHOD(rpc_fixture, "a call returns the handler's answer")
{
    router_.add_call("/echo", [](const auto& body, const auto& responder) { responder->respond(body + "!"); });
    transport::rpc_result result;
    rpc_.call("/echo", "hello", 2s, [&](const auto& it) { result = it; });
    REQUIRE(wait_for([&] { return result.status == transport::rpc_status::ok; }));
    CHECK(result.body == "hello!");
}

// A large body stalls when received bytes are not returned to the flow-control window.
TEST_CASE_METHOD(rpc_fixture, "a call carries a body larger than the flow-control window")
{
    router_.add_call("/echo", [](const auto& body, const auto& responder) { responder->respond(body); });
    const std::string large(3'000'000, 'x');
    transport::rpc_result result;
    rpc_.call("/echo", large, 4s, [&](const auto& it) { result = it; });
    REQUIRE(wait_for([&] { return result.status == transport::rpc_status::ok; }));
    CHECK(result.body == large);
}

// A failed connect must be reported as not_run. Nothing has reached the peer, so a retry is safe.
TEST_CASE("a call to a closed port is reported as not run")
{
    int argc = 0;
    QCoreApplication application(argc, nullptr);
    transport::http2_client client(core::endpoint::create("127.0.0.1:1"), 0, {}, nullptr, &application);
    transport::rpc_client rpc(client);
    bool done = false;
    rpc.call("/echo", "", 2s, [&](const auto& it) {
        done = true;
        CHECK(it.status == transport::rpc_status::not_run);
    });
    while (!done)
        testing::run_event_loop(std::chrono::milliseconds(5));
}

// A client that was destroyed before its connection was established leaked the pending calls, because streams and
// listeners referred to each other.
TEST_CASE_METHOD(rpc_fixture, "a client that is destroyed while connecting frees its calls")
{
    auto token = std::make_shared<int>(0);
    const std::weak_ptr<int> weak_token = token;
    {
        transport::http2_client client(server_->address(), 0, {}, nullptr, nullptr);
        transport::rpc_client rpc(client);
        rpc.call("/echo", "", 2s, [held = std::move(token)](const auto&) { FAIL("the callback must not run"); });
        CHECK_FALSE(weak_token.expired());
    }
    CHECK(weak_token.expired());
}

TEST_CASE_METHOD(rpc_fixture, "a refused call is reported as not run")
{
    router_.add_call("/refuse", [](const auto&, const auto& responder) { responder->refuse(); });
    std::optional<transport::rpc_result> result;
    rpc_.call("/refuse", "", 2s, [&](const auto& it) { result = it; });
    REQUIRE(wait_for([&] { return result.has_value(); }));
    CHECK(result->status == transport::rpc_status::not_run);
}

// A call that timed out must not be reported as not_run, because the handler has received it.
TEST_CASE_METHOD(rpc_fixture, "a call that is never answered times out as failed")
{
    router_.add_call("/silent", [](const auto&, const auto&) {});
    std::optional<transport::rpc_result> result;
    rpc_.call("/silent", "", 100ms, [&](const auto& it) { result = it; });
    REQUIRE(wait_for([&] { return result.has_value(); }));
    CHECK(result->status == transport::rpc_status::failed);
}

TEST_CASE_METHOD(rpc_fixture, "a subscription delivers messages in order until it is closed")
{
    router_.add_subscription("/feed", [](const auto&, const auto& publisher) {
        publisher->publish("one");
        publisher->publish("two");
        publisher->close();
    });
    std::vector<std::string> messages;
    bool closed = false;
    const auto subscription = transport::rpc_subscription::create(
        client_, "/feed", "", [&](const auto& it) { messages.push_back(it); }, [&] { closed = true; });
    REQUIRE(wait_for([&] { return closed; }));
    CHECK(messages == std::vector<std::string>{"one", "two"});
}

// A graceful shutdown must not abort calls in progress, and must refuse calls that arrive later.
TEST_CASE_METHOD(rpc_fixture, "a call in progress is finished when the server shuts down")
{
    std::shared_ptr<transport::rpc_responder> pending;
    router_.add_call("/slow", [&](const auto&, const auto& responder) { pending = responder; });
    std::optional<transport::rpc_result> result;
    rpc_.call("/slow", "", 4s, [&](const auto& it) { result = it; });
    REQUIRE(wait_for([&] { return pending != nullptr; }));
    bool drained = false;
    server_->shut_down([&] { drained = true; });
    std::optional<transport::rpc_result> late_result;
    rpc_.call("/slow", "", 2s, [&](const auto& it) { late_result = it; });
    REQUIRE(wait_for([&] { return late_result.has_value(); }));
    CHECK(late_result->status == transport::rpc_status::not_run);
    pending->respond("finished");
    REQUIRE(wait_for([&] { return result.has_value() && drained; }));
    CHECK(result->status == transport::rpc_status::ok);
    CHECK(result->body == "finished");
}
