#pragma once

#include "ibisdyke/core/ids.h"
#include "ibisdyke/core/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace ibisdyke::routing {

/// Why an upstream's pace is limited.
enum class start_cause : std::uint8_t {
    /// The agent sees this run of the upstream for the first time.
    new_run,
    /// The upstream was absent, draining or in a failure domain that took no new flows.
    readmission,
    /// The pause after failed requests has ended.
    recovery,
};

enum class start_outcome : std::uint8_t {
    /// All slots are in use at the expected service time.
    full_pace,
    /// The service time does not improve any more.
    settled,
    /// The start has lasted for max_duration since its first flow.
    expired,
    /// The upstream has begun to fail, accepts no new flows, has restarted, or is no longer to be paced.
    aborted,
};

/// Returns "new_run", "readmission" or "recovery".
std::string_view to_string(start_cause it);

/// Returns "full_pace", "settled", "expired" or "aborted".
std::string_view to_string(start_outcome it);

/// What is known about the upstream before a decision.
struct upstream_condition {
    core::incarnation run;
    /// Whether starts of the upstream are paced.
    bool is_paced = false;
    bool accepts_new_flows = false;
    bool failing = false;
    std::uint32_t slots = 0;

    friend bool operator==(const upstream_condition&, const upstream_condition&) = default;
};

/// The begin or the end of a start, with the values that decided it.
struct start_event {
    start_cause cause = start_cause::new_run;
    /// Empty when the start begins.
    std::optional<start_outcome> outcome;
    core::milliseconds duration{0};
    std::uint32_t limit = 0;
    std::uint32_t slots = 0;
    std::uint64_t flows = 0;
    std::uint64_t responses = 0;
    std::uint64_t failures = 0;
    /// The mean service time of the last round of responses, and the smallest one; 0 before the first round.
    std::chrono::nanoseconds service_time{0};
    std::chrono::nanoseconds best_service_time{0};

    friend bool operator==(const start_event&, const start_event&) = default;
};

namespace detail {

/// The responses to the requests that the limit allows at a time.
struct response_round {
    std::uint32_t responses = 0;
    std::uint32_t failures = 0;
    std::chrono::nanoseconds total_time{0};
    /// Whether the number of flows within a service time has been at the limit while a slot was free.
    bool was_flow_limited = false;
};

/// A start that has not ended.
struct start {
    start_cause cause = start_cause::new_run;
    core::time_point since;
    std::optional<core::time_point> first_flow;
    std::uint32_t limit = 1;
    std::uint32_t slots = 1;
    /// The smallest latency target of the routes whose flows were offered; 0 when they have none.
    core::milliseconds latency_target{0};
    response_round round;
    std::optional<std::chrono::nanoseconds> last_mean;
    std::optional<std::chrono::nanoseconds> best_mean;
    std::uint32_t rounds_without_improvement = 0;
    /// Begin of the present interval of one service time, and the flows that have begun in it.
    core::time_point interval_begin;
    std::uint32_t interval_flows = 0;
    std::uint64_t flows = 0;
    std::uint64_t responses = 0;
    std::uint64_t failures = 0;
};

} // namespace detail

/// Limits the requests in progress at an upstream that has just started or recovered, and the flows that it gets within
/// one service time. The limit doubles with each round of responses that come within the expected time, and halves when
/// they slow down or fail. The result is a load, so that new flows go to other candidates first; the limit never
/// refuses a flow. Needs the upstream's responses and its number of slots. Used by one thread.
class start_pace {
public:
    /// Maximum initial number of requests in progress. The initial limit is at most half of the slots, but at least 1.
    static constexpr std::uint32_t max_initial_limit = 2;

    /// A start ends when the service time has not improved in this many rounds of responses.
    static constexpr std::uint32_t max_rounds_without_improvement = 8;

    /// Maximum time from the first flow to the end of a start. Bounds the effect where few responses are seen.
    static constexpr core::milliseconds max_duration{5'000};

    /// Begins or ends a start if the condition of the upstream has changed accordingly.
    void update(const upstream_condition& upstream, core::time_point now);

    /// Records that a new flow is offered to the upstream, which has `in_progress` requests. `latency_target` is that
    /// of the flow's route; 0 if it has none.
    void record_offered_flow(std::size_t in_progress, core::milliseconds latency_target, core::time_point now);

    /// Records that the upstream gets a new flow.
    void record_new_flow(core::time_point now);

    /// Records that the upstream has responded to a request after this time, not counting the wait for a slot.
    void record_response(std::chrono::nanoseconds service_time, core::time_point now);

    /// Records that a request has failed.
    void record_failure();

    /// Returns the number of requests and flows beyond the limit, counting the next flow, in thousandths of the slots.
    /// 0 if the upstream may get the next flow.
    std::uint32_t excess_per_mille(std::size_t in_progress, core::time_point now) const;

    bool is_starting() const { return start_.has_value(); }

    /// Returns the limit of the requests in progress, or nothing when the upstream is not starting.
    std::optional<std::uint32_t> limit() const;

    /// Returns the events since the last call, oldest first. At most max_events are kept.
    std::vector<start_event> take_events();

private:
    static constexpr std::size_t max_events = 16;

    void begin(start_cause cause, std::uint32_t slots, core::time_point now);
    void end(start_outcome outcome, core::time_point now);
    void end_round(core::time_point now);
    void add_event(std::optional<start_outcome> outcome, core::time_point now);
    std::uint32_t flows_in_interval(core::time_point now) const;

    std::optional<detail::start> start_;
    std::optional<core::incarnation> run_;
    /// Why the next start begins as soon as the upstream can take new flows.
    std::optional<start_cause> next_cause_;
    std::vector<start_event> events_;
};

} // namespace ibisdyke::routing
