#include "ibisdyke/routing/flow_admission_control.h"

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

} // namespace

flow_admission_control::flow_admission_control()
    : new_flow_limiter_(flow_admission_limits{}.new_flows_per_second, flow_admission_limits{}.burst)
{
}

std::optional<packet_reason> flow_admission_control::refusal_reason(
    const packet_info& packet, const agent_snapshot& agent, std::size_t open_flows, core::time_point now)
{
    pending_.set_slots(agent.admission.slots);
    const auto* const route = agent.table ? agent.table->destinations().find(packet.flow) : nullptr;
    const bool has_latency_target = route != nullptr && route->latency_target != core::milliseconds{0};
    if (has_latency_target)
        priorities_.record_flow(route->priority, now);
    if (agent.domain_out_of_service || !is_within_limits(agent.admission, open_flows, now))
        return packet_reason::no_capacity;
    if (packet.syn_retransmissions > 0 && pending_.queue_per_mille() > 0)
        return packet_reason::yields;
    if (pending_.queue_per_mille() == 0 || !has_latency_target)
        return std::nullopt;
    return latency_refusal(*route, agent.admission.slots, now);
}

/// Returns why a flow of the route must not wait for one of the `slots`, which are all busy, or nothing when it may
/// wait.
std::optional<packet_reason> flow_admission_control::latency_refusal(
    const flow_route& route, std::uint32_t slots, core::time_point now) const
{
    const std::chrono::nanoseconds max_time = route.latency_target * upstream_time_percent / 100;
    const auto assumed_service_time = route.latency_target * assumed_service_percent / 100;
    const auto expected_time = pending_.expected_response_time(assumed_service_time);
    if (expected_time > max_time)
        return packet_reason::overloaded;
    const auto service_time = pending_.service_time().value_or(assumed_service_time);
    const expected_wait expected{expected_time - service_time, max_time - service_time, service_time / slots};
    return priorities_.may_wait(route.priority, expected, now) ? std::nullopt
                                                               : std::optional(packet_reason::lower_priority);
}

bool flow_admission_control::should_await_retransmission(
    const packet_info& packet, packet_reason refused, core::time_point now) const
{
    if (packet.syn_retransmissions >= last_retransmission)
        return false;
    if (refused == packet_reason::yields)
        return true;
    const auto since = pending_.busy_since();
    return refused == packet_reason::overloaded && (!since || now - *since < sustained_overload);
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
    return {failures_.is_failing(now), pending_.queue_per_mille(), static_cast<std::uint32_t>(active_flows)};
}

void flow_admission_control::record_new_flow(const flow_key& flow, core::time_point now)
{
    new_flow_limiter_.take(now);
    pending_.expect(flow, now);
}

void flow_admission_control::record_response(const packet_info& response, core::time_point now)
{
    if (response.has_data && pending_.complete(response.flow, now))
        failures_.record_success();
    if (response.kind == packet_kind::closing && pending_.cancel(response.flow, now) && response.is_reset)
        failures_.record_failure(now);
}

void flow_admission_control::record_returned_packet(const packet_info& packet, core::time_point now)
{
    pending_.cancel(packet.flow, now);
    if (may_start_flow(packet.kind))
        refuses_new_flows_until_ = now + returned_flow_pause;
}

void flow_admission_control::maintain(core::incarnation upstream, core::time_point now)
{
    // Failures of an earlier process of the upstream say nothing about the present one.
    if (std::exchange(upstream_, upstream) != upstream)
        failures_.reset();
    for (auto n = pending_.take_overdue_count(now); n > 0; --n)
        failures_.record_failure(now);
    pending_.remove_expired(now);
}

} // namespace ibisdyke::routing
