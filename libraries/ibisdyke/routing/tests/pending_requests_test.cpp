#include "ibisdyke/routing/pending_requests.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace std::chrono_literals;
using routing::pending_requests;

namespace {

routing::flow_key flow(std::uint16_t port)
{
    return {1, 2, port, 443, routing::ip_protocol::tcp};
}

const core::time_point start{1h};

} // namespace

TEST_CASE("requests wait once all slots are taken")
{
    pending_requests it;
    it.set_slots(2);
    CHECK(it.queue_per_mille() == 0);
    it.start(flow(1), start);
    CHECK(it.queue_per_mille() == 0);
    it.start(flow(2), start);
    CHECK(it.queue_per_mille() == 500);
    it.start(flow(2), start);
    CHECK(it.size() == 2);
    it.start(flow(3), start);
    CHECK(it.queue_per_mille() == 1000);
    it.complete(flow(1), start + 10ms);
    it.cancel(flow(2), start + 10ms);
    CHECK(it.queue_per_mille() == 0);
}

// The busy period must end with a peak of requests, and must not restart with each further request.
TEST_CASE("an upstream is busy since the time it last had a free slot")
{
    pending_requests it;
    it.set_slots(1);
    CHECK_FALSE(it.busy_since());
    it.start(flow(1), start);
    it.start(flow(2), start + 10ms);
    it.complete(flow(1), start + 20ms);
    CHECK(it.busy_since() == start);
    it.cancel(flow(2), start + 30ms);
    CHECK_FALSE(it.busy_since());
    it.start(flow(3), start + 40ms);
    CHECK(it.busy_since() == start + 40ms);
    it.remove_expired(start + 40ms + pending_requests::max_age);
    CHECK_FALSE(it.busy_since());
}

// An upstream whose queue is full answers at once that it sheds the request. Taken for a service time, such answers
// made the agent expect short waits and send ever more requests.
TEST_CASE("a queued request that is answered at once does not shorten the service time")
{
    pending_requests it;
    it.set_slots(1);
    it.start(flow(1), start);
    it.start(flow(2), start);
    CHECK(it.complete(flow(1), start + 40ms) == 40ms);
    CHECK(it.complete(flow(2), start + 80ms) == 40ms);
    it.start(flow(3), start + 80ms);
    it.start(flow(4), start + 80ms);
    CHECK_FALSE(it.complete(flow(4), start + 82ms));
    CHECK(it.size() == 1);
    CHECK(it.service_time() == 40ms);
}

// An upstream whose number of slots is unknown must not count as full.
TEST_CASE("no requests wait if the number of slots is unknown")
{
    pending_requests it;
    for (std::uint16_t i = 0; i < 100; ++i)
        it.start(flow(i), start);
    CHECK(it.queue_per_mille() == 0);
}

// If the service time included the wait in the queue, the expected response time would stay high after a peak, and all
// new flows would be refused.
TEST_CASE("the service time excludes the wait in the queue")
{
    pending_requests it;
    it.set_slots(1);
    CHECK_FALSE(it.service_time());
    CHECK(it.expected_response_time(25ms) == 25ms);
    // The second request waits for the first one, so its response takes twice the service time.
    it.start(flow(1), start);
    it.start(flow(2), start);
    it.complete(flow(1), start + 20ms);
    it.complete(flow(2), start + 40ms);
    CHECK(it.service_time() == 20ms);
    CHECK(it.expected_response_time(25ms) == 20ms);
    it.start(flow(3), start + 50ms);
    CHECK(it.expected_response_time(25ms) == 40ms);
}

// Requests whose callers are gone must not occupy slots forever.
TEST_CASE("a request without a response expires")
{
    pending_requests it;
    it.set_slots(1);
    it.start(flow(1), start);
    it.start(flow(2), start + 1s);
    it.start(flow(1), start + 1500ms);
    it.remove_expired(start + 2999ms);
    CHECK(it.size() == 2);
    it.remove_expired(start + 3s);
    CHECK(it.size() == 1);
    it.remove_expired(start + 3500ms);
    CHECK(it.size() == 0);
    it.complete(flow(1), start + 4s);
    CHECK_FALSE(it.service_time());
}

// After a pause of a balancer, its socket holds the SYNs of callers who have given up. An upstream must not count as
// busy for seconds with requests that nobody sends.
TEST_CASE("a request that the caller does not send is expected for a short time only")
{
    pending_requests it;
    it.set_slots(2);
    for (std::uint16_t port = 1; port <= 50; ++port)
        it.expect(flow(port), start);
    it.start(flow(7), start + 10ms);
    it.remove_expired(start + pending_requests::max_expected_age - 1ms);
    CHECK(it.size() == 50);
    it.remove_expired(start + pending_requests::max_expected_age);
    CHECK(it.size() == 1);
    CHECK(it.queue_per_mille() == 0);
    CHECK_FALSE(it.busy_since());
    // The SYN of a caller who has returned is a new request.
    it.expect(flow(3), start + 1s);
    it.expect(flow(3), start + 1200ms);
    it.remove_expired(start + 1s + pending_requests::max_expected_age);
    CHECK(it.size() == 2);
}

// A short wait, a flow whose caller sends no request, and a request with a response must not count as failures of the
// upstream.
TEST_CASE("only requests that were sent become overdue, once each")
{
    pending_requests it;
    it.expect(flow(1), start);
    it.start(flow(2), start);
    it.start(flow(3), start);
    it.start(flow(4), start);
    CHECK(it.complete(flow(3), start + 20ms));
    CHECK_FALSE(it.complete(flow(3), start + 20ms));
    it.start(flow(4), start + 300ms);
    CHECK(it.take_overdue_count(start + 499ms) == 0);
    CHECK(it.take_overdue_count(start + 500ms) == 1);
    CHECK(it.take_overdue_count(start + 600ms) == 0);
    CHECK(it.take_overdue_count(start + 800ms) == 1);
    CHECK_FALSE(it.cancel(flow(1), start + 900ms));
    CHECK(it.cancel(flow(2), start + 900ms));
}
