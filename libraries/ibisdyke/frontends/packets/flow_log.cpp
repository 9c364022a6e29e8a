#include "ibisdyke/frontends/packets/flow_log.h"

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/observability/log.h"
#include "ibisdyke/routing/decision_names.h"

#include <chrono>

namespace ibisdyke::frontends {

namespace {

using observability::log_level;
using routing::packet_action;

/// Returns the name of the log event, or null for a packet of a known flow, which is not logged.
const char* event_of(const routing::packet_decision& it, routing::packet_kind kind)
{
    switch (it.action) {
    case packet_action::place:
        return "flow_placed";
    case packet_action::adopt:
        return "flow_adopted";
    case packet_action::reject:
        return "flow_rejected";
    case packet_action::drop:
        return "packet_dropped";
    case packet_action::forward:
        return routing::may_start_flow(kind) ? "flow_passed_on" : nullptr;
    case packet_action::deliver:
        break;
    }
    return nullptr;
}

std::int64_t to_microseconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

std::string_view reason_name(routing::address_state it)
{
    switch (it) {
    case routing::address_state::withdrawn:
        return "route_withdrawn";
    case routing::address_state::routed:
        return "no_upstream";
    case routing::address_state::unknown:
        break;
    }
    return "no_route";
}

} // namespace

std::string flow_id(const routing::flow_key& flow)
{
    return to_string(core::endpoint{flow.source_address, flow.source_port}) + ">"
        + to_string(core::endpoint{flow.destination_address, flow.destination_port});
}

void log_decision(const logged_decision& it)
{
    const auto* const event = event_of(it.decision, it.packet.kind);
    if (event == nullptr || !observability::claim_line(event))
        return;
    const bool refused = it.decision.action == packet_action::reject || it.decision.action == packet_action::drop;
    const auto& next = it.decision.next;
    const auto to = next ? to_string(next->chain[next->position].packet_endpoint) : std::string("upstream");
    const auto& admission = it.agent.admission;
    const auto* const route = it.agent.table ? it.agent.table->destinations().find(it.packet.flow) : nullptr;
    observability::write_claimed_line(refused ? log_level::warning : log_level::info, event,
        {{"flow", flow_id(it.packet.flow)}, {"seq", it.packet.sequence}, {"copies", it.packet.syn_retransmissions},
            {"reason", to_string(it.decision.reason)}, {"to", refused ? std::string("caller") : to},
            {"phase", to_string(it.header.phase)}, {"hops", it.header.hops}, {"balancer", to_string(it.header.sender)},
            {"table", to_string(it.header.table)}, {"applied", to_string(it.agent.applied)},
            {"accepts", admission.accepts_new_flows}, {"flows_per_s", admission.new_flows_per_second},
            {"priority", route != nullptr ? route->priority : 0}, {"waiting_per_mille", it.load.queue_per_mille},
            {"open_flows", it.load.open_flows}, {"failing", it.load.failing},
            {"start_limit", it.start_limit.value_or(0)}, {"overflow", to_string(it.decision.overflow)}});
}

void log_start_event(const routing::start_event& it, const routing::agent_snapshot& agent)
{
    observability::write_log(log_level::info, it.outcome ? "upstream_start_ended" : "upstream_start_began",
        {{"upstream", agent.self.value()}, {"cause", to_string(it.cause)},
            {"outcome", it.outcome ? to_string(*it.outcome) : ""}, {"after_ms", it.duration.count()},
            {"limit", it.limit}, {"slots", it.slots}, {"flows", it.flows}, {"answers", it.responses},
            {"failures", it.failures}, {"service_us", to_microseconds(it.service_time)},
            {"best_service_us", to_microseconds(it.best_service_time)}});
}

void log_returned(const routing::packet_info& packet, const routing::agent_snapshot& agent)
{
    constexpr std::string_view event = "flow_disowned";
    if (!observability::claim_line(event))
        return;
    observability::write_claimed_line(log_level::warning, event,
        {{"flow", flow_id(packet.flow)}, {"seq", packet.sequence}, {"opens", routing::may_start_flow(packet.kind)},
            {"upstream", agent.self.value()}});
}

void log_unrouted(
    const routing::packet_info& packet, routing::address_state address, bool rejected, const core::version& version)
{
    const std::string_view event = rejected ? "flow_rejected" : "packet_dropped";
    if (!observability::claim_line(event))
        return;
    observability::write_claimed_line(log_level::warning, event,
        {{"flow", flow_id(packet.flow)}, {"seq", packet.sequence}, {"copies", packet.syn_retransmissions},
            {"reason", reason_name(address)}, {"table", to_string(version)}});
}

void log_outdated(const routing::packet_info& packet, const core::version& version)
{
    constexpr std::string_view event = "packet_dropped";
    if (!observability::claim_line(event))
        return;
    observability::write_claimed_line(log_level::warning, event,
        {{"flow", flow_id(packet.flow)}, {"seq", packet.sequence}, {"copies", packet.syn_retransmissions},
            {"reason", to_string(routing::packet_reason::outdated)}, {"table", to_string(version)}});
}

void log_stall(std::string_view name, core::milliseconds length)
{
    observability::write_log(
        log_level::warning, "packet_thread_stalled", {{"thread", name}, {"stalled_ms", length.count()}});
}

} // namespace ibisdyke::frontends
