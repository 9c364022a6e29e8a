#include "ibisdyke/routing/backlog_monitor.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace std::chrono_literals;
using routing::backlog_monitor;
using routing::packet_kind;

namespace {

constexpr core::milliseconds wait{100};
const core::time_point start{1h};

routing::packet_info make_packet(packet_kind kind, core::milliseconds answer_wait)
{
    routing::packet_info result;
    result.kind = kind;
    result.answer_wait = answer_wait;
    return result;
}

const auto first_syn = make_packet(packet_kind::syn, 200ms);
const auto last_syn = make_packet(packet_kind::syn, 800ms);

} // namespace

// Guards against the backlog of a process that was paused: its SYNs come from callers who have given up, and each of
// them would take a place in an upstream's queue.
TEST_CASE("SYNs that waited while the thread stood still are outdated until the backlog is read")
{
    backlog_monitor it;
    CHECK_FALSE(it.record_progress(start, wait));
    CHECK_FALSE(it.is_outdated(first_syn));
    CHECK(it.record_progress(start + 3s, wait) == 3s);
    CHECK(it.is_outdated(first_syn));
    CHECK(it.is_outdated(last_syn));
    CHECK_FALSE(it.record_progress(start + 3010ms, 0ms));
    CHECK(it.is_outdated(first_syn));
    it.record_drained();
    CHECK_FALSE(it.is_outdated(first_syn));
}

// Open flows must continue after the pause, and a caller whose behaviour is unknown may still wait.
TEST_CASE("other packets than SYNs with a known answer time are never outdated")
{
    backlog_monitor it;
    it.record_progress(start, wait);
    it.record_progress(start + 3s, wait);
    for (const auto kind : {packet_kind::datagram, packet_kind::segment, packet_kind::closing})
        CHECK_FALSE(it.is_outdated(make_packet(kind, 200ms)));
    CHECK_FALSE(it.is_outdated(make_packet(packet_kind::syn, 0ms)));
}

// A caller waits longer for the answer to its last SYN. Dropping that SYN too early would cost the caller its request.
TEST_CASE("a SYN is outdated only after a pause that exceeds its answer time")
{
    backlog_monitor it;
    it.record_progress(start, wait);
    CHECK(it.record_progress(start + 500ms, wait) == 500ms);
    CHECK(it.is_outdated(first_syn));
    CHECK_FALSE(it.is_outdated(last_syn));
}

// A process with a small share of a processor is often stopped for a moment.
TEST_CASE("short gaps and the wait for packets are no pause")
{
    backlog_monitor it;
    auto now = start;
    it.record_progress(now, wait);
    for (int i = 0; i < 100; ++i) {
        now += wait + backlog_monitor::min_stall;
        CHECK_FALSE(it.record_progress(now, wait));
        now += backlog_monitor::min_stall;
        CHECK_FALSE(it.record_progress(now, 0ms));
        CHECK_FALSE(it.is_outdated(first_syn));
    }
}

// Under load the socket may never be empty. New callers must be served all the same.
TEST_CASE("a backlog ends after a while even if the socket is never empty")
{
    backlog_monitor it;
    it.record_progress(start, wait);
    auto now = start + 2s;
    it.record_progress(now, wait);
    for (const auto end = now + backlog_monitor::max_backlog_time; now <= end; now += 20ms) {
        CHECK(it.is_outdated(first_syn));
        it.record_progress(now + 20ms, 0ms);
    }
    CHECK_FALSE(it.is_outdated(first_syn));
}
