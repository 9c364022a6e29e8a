#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/routing/flow_key.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace ibisdyke::routing {

/// The flows on which an upstream owes an answer: the work that it has. Known only where the upstream's answers pass
/// its agent. Used by one thread.
class pending_requests {
public:
    /// A request without an answer counts for this long: its caller may have gone, or its answer may have been lost.
    static constexpr std::chrono::seconds memory{2};

    /// `slots` is how many requests the upstream serves at the same time; 0 when that is not known.
    void set_slots(std::uint32_t slots) { slots_ = slots; }

    /// The caller opens the flow: its first request follows.
    void open(const flow_key& flow, core::time_point now) { begin(flow, now, request_state::expected); }

    /// The caller has sent data on the flow.
    void begin(const flow_key& flow, core::time_point now) { begin(flow, now, request_state::sent); }

    /// The upstream has sent data on the flow. Returns whether it owed an answer.
    bool answer(const flow_key& flow, core::time_point now);

    /// The flow has ended, or the upstream does not hold it. Returns whether the upstream owed an answer to a request
    /// that was sent.
    bool forget(const flow_key& flow, core::time_point now);

    /// Returns how many requests have become overdue since the last call: still without an answer after several times
    /// the upstream's service time.
    std::size_t take_overdue(core::time_point now);

    void expire(core::time_point now);

    std::size_t size() const { return requests_.size(); }

    /// Returns the requests beyond the free slots, in thousandths of the slots; 0 while a slot is free.
    std::uint32_t waiting() const;

    /// Returns since when the upstream has had no free slot. Nothing while one is free.
    std::optional<core::time_point> busy_since() const { return busy_since_; }

    /// Returns how long the upstream works on a request, as its answers show. Nothing before the first answer.
    std::optional<std::chrono::nanoseconds> service_time() const { return service_time_; }

    /// Returns how long a request that begins now is expected to wait and be worked on.
    std::optional<std::chrono::nanoseconds> expected_time() const;

private:
    enum class request_state : std::uint8_t {
        /// The flow is open, and the caller may have gone.
        expected,
        sent,
    };

    struct request {
        core::time_point since;
        request_state state = request_state::expected;
        /// waiting() when the request began.
        std::uint32_t waiting = 0;
    };

    void begin(const flow_key& flow, core::time_point now, request_state state);
    void note_slots(core::time_point now);

    std::uint32_t slots_ = 0;
    std::unordered_map<flow_key, request> requests_;
    std::deque<std::pair<core::time_point, flow_key>> order_;
    /// Requests that take_overdue() has not looked at yet, in order.
    std::deque<std::pair<core::time_point, flow_key>> unjudged_;
    std::optional<std::chrono::nanoseconds> service_time_;
    std::optional<core::time_point> busy_since_;
};

} // namespace ibisdyke::routing
