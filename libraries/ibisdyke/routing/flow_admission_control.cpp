#include "ibisdyke/routing/flow_admission_control.h"

#include <algorithm>
#include <utility>

namespace ibisdyke::routing {

namespace {

/// How long an upstream gets no new flows after it has returned the first packet of a new flow.
constexpr core::milliseconds returned_flow_pause{50};

/// The share of a route's latency target that the upstream may use. The rest covers the network and variation.
constexpr int upstream_time_percent = 50;

/// The share of a route's latency target that an upstream is taken to work on a request before its first response.
/// After a restart of all processes, every caller comes back before that response. With this share, an upstream then
/// gets up to one waiting request for each slot.
constexpr int assumed_service_percent = 25;

/// An upstream that has had no free slot for this long is unlikely to have one at a caller's next retransmission. Equal
/// to the time from a caller's first SYN to its last retransmission.
constexpr core::milliseconds sustained_overload{600};

/// Callers give up after this many retransmissions of a SYN.
constexpr std::uint32_t last_retransmission = 2;

/// Returns the time that a request of a route is taken to need before the upstream's first response.
core::milliseconds assumed_service_time(core::milliseconds latency_target)
{
    return latency_target * assumed_service_percent / 100;
}

} // namespace

flow_admission_control::flow_admission_control()
    : new_flow_limiter_(flow_admission_limits{}.new_flows_per_second, flow_admission_limits{}.burst)
{
}

std::optional<packet_reason> flow_admission_control::refusal_reason(
    const packet_info& packet, const agent_snapshot& agent, std::size_t open_flows, core::time_point now)
{
    update_upstream(agent, now);
    const auto* const route = agent.table ? agent.table->destinations().find(packet.flow) : nullptr;
    const auto latency_target = route != nullptr ? route->latency_target : core::milliseconds{0};
    const bool has_latency_target = latency_target != core::milliseconds{0};
    if (has_latency_target)
        priorities_.record_flow(route->priority, now);
    if (agent.domain_out_of_service || !is_within_limits(agent.admission, open_flows, now))
        return packet_reason::no_capacity;
    pace_.record_offered_flow(pending_.size(), latency_target, now);
    if (packet.syn_retransmissions > 0 && pending_.queue_per_mille() > 0)
        return packet_reason::yields;
    return has_latency_target ? latency_refusal(*route, now) : std::nullopt;
}

/// Returns why a flow of the route must not wait for a slot, or nothing when it may wait or a slot is free.
std::optional<packet_reason> flow_admission_control::latency_refusal(
    const flow_route& route, core::time_point now) const
{
    if (pending_.queue_per_mille() == 0 || route.latency_target == core::milliseconds{0})
        return std::nullopt;
    const std::chrono::nanoseconds max_time = route.latency_target * upstream_time_percent / 100;
    const auto expected_time = expected_response_time(route.latency_target);
    if (expected_time > max_time)
        return packet_reason::overloaded;
    const auto service_time = pending_.service_time().value_or(assumed_service_time(route.latency_target));
    const expected_wait expected{
        expected_time - service_time, max_time - service_time, service_time / pending_.slots()};
    return priorities_.may_wait(route.priority, expected, now) ? std::nullopt
                                                               : std::optional(packet_reason::lower_priority);
}

std::chrono::nanoseconds flow_admission_control::expected_response_time(core::milliseconds latency_target) const
{
    return pending_.expected_response_time(assumed_service_time(latency_target));
}

std::optional<packet_reason> flow_admission_control::assignment_refusal_reason(
    const packet_info& packet, const agent_snapshot& agent, std::size_t open_flows, core::time_point now)
{
    if (!is_within_limits(agent.admission, open_flows, now))
        return packet_reason::no_capacity;
    const auto* const route = agent.table ? agent.table->destinations().find(packet.flow) : nullptr;
    return route != nullptr ? latency_refusal(*route, now) : std::nullopt;
}

bool flow_admission_control::should_await_retransmission(
    const packet_info& packet, packet_reason refused, core::time_point now) const
{
    if (packet.syn_retransmissions >= last_retransmission)
        return false;
    if (refused == packet_reason::yields)
        return true;
    const bool is_full = refused == packet_reason::overloaded || refused == packet_reason::lower_priority;
    const auto since = pending_.busy_since();
    return is_full && (!since || now - *since < sustained_overload);
}

bool flow_admission_control::is_within_limits(
    const flow_admission_limits& admission, std::size_t open_flows, core::time_point now)
{
    new_flow_limiter_.set_rate(admission.new_flows_per_second, admission.burst);
    return now >= refuses_new_flows_until_ && admission.accepts_new_flows && open_flows < admission.max_open_flows
        && new_flow_limiter_.allows(now);
}

upstream_load flow_admission_control::load(std::size_t active_flows, core::time_point now) const
{
    const auto queue = std::max(pending_.queue_per_mille(), pace_.excess_per_mille(pending_.size(), now));
    return {failures_.is_failing(now) && !probe_.is_due(now), queue, static_cast<std::uint32_t>(active_flows)};
}

bool flow_admission_control::is_start_limited(core::time_point now) const
{
    return pending_.queue_per_mille() == 0 && pace_.excess_per_mille(pending_.size(), now) > 0;
}

void flow_admission_control::record_new_flow(const flow_key& flow, core::time_point now)
{
    new_flow_limiter_.take(now);
    pace_.record_new_flow(now);
    probe_.record_new_flow(flow, now);
    pending_.expect(flow, now);
}

void flow_admission_control::record_response(const packet_info& response, core::time_point now)
{
    if (const auto service_time = response.has_data ? pending_.complete(response.flow, now) : std::nullopt) {
        failures_.record_success();
        record_answer(response.flow, *service_time, now);
    }
    const auto closed_after =
        response.kind == packet_kind::closing ? pending_.cancel(response.flow, now) : std::nullopt;
    if (!closed_after)
        return;
    if (response.is_reset) {
        record_failure(now);
        probe_.record_failure(response.flow, now);
    } else {
        // The network may deliver the FIN of a short response before its data.
        record_answer(response.flow, *closed_after, now);
    }
}

/// Records a response for the pace of a start and for the probes.
void flow_admission_control::record_answer(
    const flow_key& flow, std::chrono::nanoseconds service_time, core::time_point now)
{
    pace_.record_response(service_time, now);
    if (probe_.record_response(flow, now))
        failures_.end_pause(now);
}

void flow_admission_control::record_failure(core::time_point now)
{
    failures_.record_failure(now);
    pace_.record_failure();
}

void flow_admission_control::record_returned_packet(const packet_info& packet, core::time_point now)
{
    pending_.cancel(packet.flow, now);
    if (may_start_flow(packet.kind))
        refuses_new_flows_until_ = now + returned_flow_pause;
}

void flow_admission_control::update_upstream(const agent_snapshot& agent, core::time_point now)
{
    const auto& limits = agent.admission;
    const auto run = agent.upstream_incarnation;
    // Failures of an earlier process of the upstream say nothing about the present one.
    if (std::exchange(upstream_, run) != run)
        failures_.reset();
    pending_.set_slots(limits.slots);
    probe_.update(limits.paces_starts && failures_.is_failing(now), now);
    pace_.update({run, limits.paces_starts, limits.accepts_new_flows, failures_.is_failing(now), limits.slots}, now);
}

void flow_admission_control::maintain(const agent_snapshot& agent, core::time_point now)
{
    update_upstream(agent, now);
    for (auto n = pending_.take_overdue_count(now); n > 0; --n)
        record_failure(now);
    pending_.remove_expired(now);
}

} // namespace ibisdyke::routing
