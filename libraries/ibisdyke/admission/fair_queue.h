#pragma once

#include "ibisdyke/admission/messages.h"

#include <deque>
#include <map>
#include <optional>

namespace ibisdyke::admission {

/// The queue of the waiting requests of all neighbours. Divides slot time by weighted max-min fairness: the next free
/// slot goes to the neighbour that has used the least slot time relative to its weight, among the neighbours with
/// waiting requests. While a neighbour has no waiting requests, the others use its share. From its next request on, it
/// competes for free slots with its full weight again.
class fair_queue {
public:
    void configure(const admission_settings& settings);

    /// Takes a token from the token bucket of the neighbour's rate limit. Returns false when the request exceeds limit
    /// and burst.
    bool take_token(const core::neighbour& neighbour, core::time_point now);

    /// Adds a request. When the queue is full, removes and returns the oldest request of the neighbour with the most
    /// waiting requests relative to its weight.
    std::optional<work_id> push(const work& it, core::time_point now);

    /// Removes and returns the request that gets the next slot, and charges the expected slot time to its neighbour.
    std::optional<work> pop(core::time_point now);

    /// Removes and returns the requests that have waited too long.
    std::vector<work_id> expire(core::time_point now);

    bool remove(work_id id);

    /// Records the end of a request that pop() has returned. Replaces the expected slot time charged by pop() with the
    /// slot time that the request has used.
    void record_slot_time(const core::neighbour& neighbour, std::chrono::nanoseconds used);

    std::uint32_t size() const { return size_; }

    /// Returns the time at which the first of the waiting requests expires.
    std::optional<core::time_point> next_expiry() const;

private:
    struct waiting_request {
        work request;
        core::time_point queued_at;
        core::time_point expires_at;
    };

    struct neighbour_state {
        neighbour_policy policy;
        std::deque<waiting_request> waiting;
        /// Charged slot time in milliseconds, divided by the weight.
        double weighted_usage_ms = 0;
        /// Moving mean of the slot time of a request. Used as the expected slot time of the next request.
        double mean_slot_time_ms = 1;
        std::uint32_t running = 0;
        /// Fill level of the token bucket.
        double tokens = 0;
        std::optional<core::time_point> refilled_at;
    };

    neighbour_state& find_or_create(const core::neighbour& neighbour);
    void limit_idle_credit(neighbour_state& idle) const;
    std::optional<work_id> drop_from_largest_backlog();

    std::map<core::neighbour, neighbour_policy> policies_;
    std::map<core::neighbour, neighbour_state> neighbours_;
    std::uint32_t capacity_ = 1;
    core::milliseconds age_limit_{100};
    std::uint32_t size_ = 0;
};

} // namespace ibisdyke::admission
