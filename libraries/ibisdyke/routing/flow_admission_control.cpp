#include "ibisdyke/routing/flow_admission_control.h"

#include <utility>

namespace ibisdyke::routing {

namespace {

/// How long an upstream that has returned a SYN is not offered another one.
constexpr core::milliseconds refusal_pause{50};

/// The share of a route's latency target that the upstream may take; the rest is for the network and for variation.
constexpr int upstream_share_percent = 50;

/// An upstream without a free slot for this long is not likely to have one when a caller comes again: as long as
/// callers take to send their last copy of a SYN.
constexpr core::milliseconds lasting_overload{600};

/// What a failing upstream's load counts for, in thousandths of its slots: more than any queue, so that it takes a new
/// flow only where no other candidate can.
constexpr std::uint32_t failing_load = 1'000'000;

/// A caller gives its attempt up after it has sent this copy of a SYN.
constexpr std::uint32_t last_copy = 2;

} // namespace

flow_admission_control::flow_admission_control()
    : new_flows_(flow_admission_limits{}.new_flows_per_second, flow_admission_limits{}.burst)
{
}

std::optional<packet_reason> flow_admission_control::refusal(
    const packet_info& packet, const agent_snapshot& agent, std::size_t open_flows, core::time_point now)
{
    pending_.set_slots(agent.admission.slots);
    if (agent.domain_out || !admits(agent.admission, open_flows, now))
        return packet_reason::no_capacity;
    if (packet.copies > 0 && pending_.waiting() > 0)
        return packet_reason::yields;
    const auto* const route = agent.table ? agent.table->destinations().find(packet.flow) : nullptr;
    const auto expected = pending_.expected_time();
    if (route == nullptr || !expected || pending_.waiting() == 0 || route->latency_target == core::milliseconds{0})
        return std::nullopt;
    const auto bound = route->latency_target * upstream_share_percent / 100;
    return *expected > bound ? std::optional(packet_reason::overloaded) : std::nullopt;
}

bool flow_admission_control::may_come_again(
    const packet_info& packet, packet_reason refused, core::time_point now) const
{
    if (packet.copies >= last_copy)
        return false;
    if (refused == packet_reason::yields)
        return true;
    const auto since = pending_.busy_since();
    return refused == packet_reason::overloaded && (!since || now - *since < lasting_overload);
}

bool flow_admission_control::admits(
    const flow_admission_limits& admission, std::size_t open_flows, core::time_point now)
{
    new_flows_.set_rate(admission.new_flows_per_second, admission.burst);
    return now >= refuses_until_ && admission.accepts_new_flows && open_flows < admission.max_open_flows
        && new_flows_.allows(now);
}

upstream_load flow_admission_control::load(std::size_t active_flows, core::time_point now) const
{
    const auto waiting = pending_.waiting() + (failures_.is_failing(now) ? failing_load : 0);
    return {waiting, static_cast<std::uint32_t>(active_flows)};
}

void flow_admission_control::note_placed(const flow_key& flow, core::time_point now)
{
    new_flows_.take(now);
    pending_.open(flow, now);
}

void flow_admission_control::note_answer(const packet_info& answer, core::time_point now)
{
    if (answer.has_data && pending_.answer(answer.flow, now))
        failures_.note_success();
    if (answer.kind == packet_kind::closing && pending_.forget(answer.flow, now) && answer.is_reset)
        failures_.note_failure(now);
}

void flow_admission_control::note_returned(const packet_info& packet, core::time_point now)
{
    pending_.forget(packet.flow, now);
    if (may_start_flow(packet.kind))
        refuses_until_ = now + refusal_pause;
}

void flow_admission_control::maintain(core::incarnation upstream, core::time_point now)
{
    // What an earlier run of the upstream did says nothing of the present one.
    if (std::exchange(upstream_, upstream) != upstream)
        failures_.reset();
    for (auto n = pending_.take_overdue(now); n > 0; --n)
        failures_.note_failure(now);
    pending_.expire(now);
}

} // namespace ibisdyke::routing
