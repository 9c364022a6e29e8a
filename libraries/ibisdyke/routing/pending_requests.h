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

/// The requests that an upstream has not responded to yet, at most one per flow. Complete only if the upstream's
/// responses pass its agent. Used by one thread.
class pending_requests {
public:
    /// A request without a response is removed after this time. The caller may be gone, or the response may be lost.
    static constexpr std::chrono::seconds max_age{2};

    /// A request of an open flow is no longer expected when the caller has sent no data for this time. The caller has
    /// given up, or has opened the flow at another upstream. Longer than the time in which a lost SYN-ACK is repeated.
    static constexpr std::chrono::milliseconds max_expected_age{300};

    /// `slots` is the number of requests that the upstream serves at the same time; 0 if it is unknown.
    void set_slots(std::uint32_t slots) { slots_ = slots; }

    /// Adds a request that is expected because the caller opens the flow.
    void expect(const flow_key& flow, core::time_point now) { start(flow, now, request_state::expected); }

    /// Adds or restarts a request when the caller has sent data on the flow.
    void start(const flow_key& flow, core::time_point now) { start(flow, now, request_state::sent); }

    /// Removes a request when the upstream has sent data on the flow. Returns how long the upstream has worked on it,
    /// not counting the wait for a slot, or nothing if there was no request or the upstream has shed it.
    std::optional<std::chrono::nanoseconds> complete(const flow_key& flow, core::time_point now);

    /// Removes a request when the flow has ended or the upstream does not hold it. Returns how long the upstream has
    /// worked on it, as complete() does, or nothing if no request had been sent. Does not count towards service_time().
    std::optional<std::chrono::nanoseconds> cancel(const flow_key& flow, core::time_point now);

    /// Returns how many requests have become overdue since the last call. A request is overdue when it has no response
    /// after several times the upstream's service time.
    std::size_t take_overdue_count(core::time_point now);

    void remove_expired(core::time_point now);

    std::size_t size() const { return requests_.size(); }

    std::uint32_t slots() const { return slots_; }

    /// Returns the requests beyond the free slots, in thousandths of the slots; 0 while a slot is free.
    std::uint32_t queue_per_mille() const;

    /// Returns the time since which the upstream has had no free slot, or nothing while a slot is free.
    std::optional<core::time_point> busy_since() const { return busy_since_; }

    /// Returns the average time that the upstream works on a request, or nothing before the first response.
    std::optional<std::chrono::nanoseconds> service_time() const { return service_time_; }

    /// Returns the expected wait and service time of a request that begins now. Before the first response, the service
    /// time is taken to be `assumed_service_time`.
    std::chrono::nanoseconds expected_response_time(std::chrono::nanoseconds assumed_service_time) const;

private:
    enum class request_state : std::uint8_t {
        /// The flow is open, but the caller has sent no data and may be gone.
        expected,
        sent,
    };

    struct request {
        core::time_point since;
        request_state state = request_state::expected;
        /// queue_per_mille() when the request began.
        std::uint32_t queue_per_mille = 0;
    };

    void start(const flow_key& flow, core::time_point now, request_state state);
    bool is_shed(std::chrono::nanoseconds response_time, std::uint32_t queue_per_mille) const;
    void remove_unsent(core::time_point now);
    void update_busy_since(core::time_point now);

    std::uint32_t slots_ = 0;
    std::unordered_map<flow_key, request> requests_;
    std::deque<std::pair<core::time_point, flow_key>> expiry_checks_;
    /// Start times and flows of the requests that were expected, oldest first.
    std::deque<std::pair<core::time_point, flow_key>> expected_checks_;
    /// Start times and flows of the requests that take_overdue_count() has not checked yet, oldest first.
    std::deque<std::pair<core::time_point, flow_key>> overdue_checks_;
    std::optional<std::chrono::nanoseconds> service_time_;
    std::optional<core::time_point> busy_since_;
};

} // namespace ibisdyke::routing
