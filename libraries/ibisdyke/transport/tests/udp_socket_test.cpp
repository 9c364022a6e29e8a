#include "ibisdyke/core/error.h"
#include "ibisdyke/transport/udp_socket.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <stdexcept>
#include <string>
#include <thread>

using namespace ibisdyke;
using namespace std::chrono_literals;
using transport::address_sharing;
using transport::udp_socket;

namespace {

constexpr std::uint32_t loopback = 0x7f000001;

std::unique_ptr<udp_socket> open_socket()
{
    return udp_socket::create({loopback, 0}, address_sharing::exclusive);
}

} // namespace

// Datagrams must not be lost or reordered between batches.
TEST_CASE("datagrams arrive in batches with their bytes and source")
{
    const auto sender = open_socket();
    const auto receiver = open_socket();
    std::vector<std::string> texts;
    texts.reserve(100);
    for (int i = 0; i < 100; ++i)
        texts.push_back("datagram " + std::to_string(i));
    std::vector<transport::outgoing_datagram> outgoing;
    outgoing.reserve(texts.size());
    for (const auto& it : texts)
        outgoing.push_back({it, receiver->local()});
    REQUIRE(sender->send(outgoing) == 0);
    transport::datagram_batch batch(16);
    std::size_t received = 0;
    while (received < texts.size()) {
        receiver->wait(5s);
        REQUIRE(receiver->receive(batch) > 0);
        for (std::size_t i = 0; i < batch.size(); ++i) {
            CHECK(batch.bytes(i) == texts[received++]);
            CHECK(batch.source(i) == sender->local());
        }
    }
    CHECK(receiver->receive(batch) == 0);
}

// sendmmsg stops at the first datagram that it cannot send. The rest of the batch must still be sent.
TEST_CASE("a datagram that cannot be sent does not stop the others")
{
    const auto sender = open_socket();
    const auto receiver = open_socket();
    const std::string too_large(70'000, 'x');
    CHECK(sender->send({{"one", receiver->local()}, {too_large, receiver->local()}, {"two", receiver->local()}}) == 1);
    transport::datagram_batch batch(16);
    std::size_t received = 0;
    while (received < 2) {
        receiver->wait(5s);
        REQUIRE(receiver->receive(batch) > 0);
        received += batch.size();
    }
}

// A truncated datagram must not be delivered as if it were complete.
TEST_CASE("a datagram that is too large arrives empty")
{
    const auto sender = open_socket();
    const auto receiver = open_socket();
    const std::string too_large(transport::max_datagram_bytes + 1, 'x');
    REQUIRE(sender->send({{too_large, receiver->local()}}) == 0);
    transport::datagram_batch batch(1);
    receiver->wait(5s);
    REQUIRE(receiver->receive(batch) == 1);
    CHECK(batch.bytes(0).empty());
}

// A wake() that is lost leaves a thread that cannot be stopped. A wake() that is not consumed makes every later wait()
// return at once, so that the thread spins.
TEST_CASE("wake ends one wait")
{
    const auto socket = open_socket();
    std::atomic<bool> woken{false};
    std::thread waiting([&] {
        socket->wait(60s);
        woken = true;
    });
    socket->wake();
    waiting.join();
    CHECK(woken);
    const auto begin = std::chrono::steady_clock::now();
    socket->wait(50ms);
    CHECK(std::chrono::steady_clock::now() - begin >= 50ms);
}

TEST_CASE("an address in use is refused unless it is shared")
{
    const auto exclusive = open_socket();
    CHECK_THROWS_AS(udp_socket::create(exclusive->local(), address_sharing::exclusive), core::system_failure);
    const auto shared = udp_socket::create({loopback, 0}, address_sharing::shared);
    CHECK_NOTHROW(udp_socket::create(shared->local(), address_sharing::shared));
}

// A prepended header must overwrite neither the packet nor the previous datagram of the batch.
TEST_CASE("a prefix is put before a received packet without moving it")
{
    const auto sender = open_socket();
    const auto receiver = open_socket();
    REQUIRE(sender->send({{"first", receiver->local()}, {"HHsecond", receiver->local()}}) == 0);
    transport::datagram_batch batch(2);
    REQUIRE(receiver->receive(batch) == 2);
    CHECK(batch.prepend(1, 2, {"new ", "header "}) == "new header second");
    CHECK(batch.bytes(0) == "first");
    CHECK(batch.prepend(0, 0, {}) == "first");
    const std::string long_prefix(transport::datagram_batch::headroom_bytes + 1, 'x');
    CHECK_THROWS_AS(batch.prepend(0, 0, {long_prefix}), std::length_error);
}
