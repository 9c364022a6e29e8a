#include "measure/operators/status_poller.h"

#include "ibisdyke/testing/event_loop.h"

#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include <catch2/catch.hpp>

#include <array>
#include <chrono>

using namespace ibisdyke;
using namespace ibisdyke::measure;
using namespace std::chrono_literals;

namespace {

constexpr int poll_interval_ms = 20;
constexpr auto settling_time = 200ms;

/// A process that is asked for its state and answers when the test says so.
class polled_process {
public:
    polled_process()
    {
        REQUIRE(server_.listen(QHostAddress::LocalHost));
        QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] {
            auto* const socket = server_.nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
                socket->readAll();
                request_ = socket;
            });
        });
    }

    core::endpoint address() const
    {
        return {QHostAddress(QHostAddress::LocalHost).toIPv4Address(), server_.serverPort()};
    }
    bool is_asked() const { return request_ != nullptr; }

    void answer()
    {
        request_->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        request_ = nullptr;
    }

private:
    QTcpServer server_;
    QTcpSocket* request_ = nullptr;
};

} // namespace

// On a busy machine the answer of a process may be handled after the process was started again. Counted for the new
// run, the version in it makes the first version of that run a revert.
TEST_CASE("an answer of a process that was started again is dropped")
{
    int argc = 1;
    std::array<char, 5> name{"test"};
    std::array<char*, 2> argv{name.data(), nullptr};
    const QCoreApplication application(argc, argv.data());
    polled_process process;
    int run = 1;
    int answers = 0;
    status_poller poller(
        {{"a-0", process.address()}}, "/state", poll_interval_ms, [&run](const auto&) { return run; },
        [&answers](const auto&, int status, const auto&) { answers += status == 200 ? 1 : 0; }, nullptr);
    poller.start();
    testing::run_event_loop(settling_time);
    REQUIRE(process.is_asked());
    ++run;
    process.answer();
    testing::run_event_loop(settling_time);
    CHECK(answers == 0);
    REQUIRE(process.is_asked());
    process.answer();
    testing::run_event_loop(settling_time);
    CHECK(answers == 1);
}
