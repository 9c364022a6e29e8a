#include "ibisdyke/configuration/wire/record_codec.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/core/wire/core_codec.h"
#include "ibisdyke/core/wire/message.h"

namespace ibisdyke::configuration::wire {

namespace {

using core::wire::from_wire;
using core::wire::to_wire;

core::milliseconds to_duration(std::uint64_t milliseconds)
{
    return core::milliseconds(static_cast<core::milliseconds::rep>(milliseconds));
}

std::uint64_t to_milliseconds(core::milliseconds duration)
{
    return static_cast<std::uint64_t>(duration.count());
}

transport_protocol to_protocol(std::uint32_t number)
{
    const auto result = static_cast<transport_protocol>(number);
    if (number > UINT8_MAX || (result != transport_protocol::tcp && result != transport_protocol::udp))
        throw core::malformed_message("protocol " + std::to_string(number) + " is neither TCP nor UDP");
    return result;
}

neighbour_share to_share(const NeighbourShare& message)
{
    return {core::neighbour(message.name()), message.weight(), message.limit_per_second(), message.burst()};
}

} // namespace

void to_wire(const profile& value, Profile& message)
{
    message.set_name(value.name);
    message.set_revision(value.revision);
    message.set_cold_start_share(value.cold_start_share);
    message.set_cold_start_ramp_ms(to_milliseconds(value.cold_start_ramp));
    message.set_drain_limit_ms(to_milliseconds(value.drain_limit));
    message.set_retry_budget(value.retry_budget);
    message.set_queue_per_slot(value.queue_per_slot);
    message.set_queue_age_limit_ms(to_milliseconds(value.queue_age_limit));
    message.set_mass_expiry_limit(value.mass_expiry_limit);
    for (const auto& it : value.neighbours) {
        auto& share = *message.add_neighbours();
        share.set_name(it.name.value());
        share.set_weight(it.weight);
        share.set_limit_per_second(it.limit_per_second);
        share.set_burst(it.burst);
    }
}

profile from_wire(const Profile& message)
{
    profile result;
    result.name = message.name();
    result.revision = message.revision();
    result.cold_start_share = core::wire::to_finite(message.cold_start_share(), "cold start share");
    result.cold_start_ramp = to_duration(message.cold_start_ramp_ms());
    result.drain_limit = to_duration(message.drain_limit_ms());
    result.retry_budget = core::wire::to_finite(message.retry_budget(), "retry budget");
    result.queue_per_slot = message.queue_per_slot();
    result.queue_age_limit = to_duration(message.queue_age_limit_ms());
    result.mass_expiry_limit = core::wire::to_finite(message.mass_expiry_limit(), "mass expiry limit");
    for (const auto& it : message.neighbours())
        result.neighbours.push_back(to_share(it));
    return result;
}

void to_wire(const service& value, Service& message)
{
    message.set_id(value.id.value());
    message.set_name(value.name);
    message.set_profile(value.profile);
    message.set_owner(value.owner.value());
    for (const auto& it : value.addresses)
        to_wire(it, *message.add_addresses());
    if (value.cold_start != cold_start_bound{})
        to_wire(value.cold_start, *message.mutable_cold_start());
    message.set_withdrawn_at(value.withdrawn_at.value_or(0));
}

service from_wire(const Service& message)
{
    service result;
    result.id = core::service_id(message.id());
    result.name = message.name();
    result.profile = message.profile();
    result.owner = core::neighbour(message.owner());
    for (const auto& it : message.addresses())
        result.addresses.push_back(from_wire(it));
    result.cold_start = from_wire(message.cold_start());
    if (message.withdrawn_at() != 0)
        result.withdrawn_at = message.withdrawn_at();
    return result;
}

void to_wire(const cold_start_bound& value, ColdStartBound& message)
{
    message.set_duration_ms(to_milliseconds(value.duration));
    message.set_flows_per_second(value.flows_per_second);
}

cold_start_bound from_wire(const ColdStartBound& message)
{
    return {to_duration(message.duration_ms()),
        core::wire::to_finite(message.flows_per_second(), "flows per second in a cold start")};
}

void to_wire(const service_address& value, ServiceAddress& message)
{
    to_wire(value.address, *message.mutable_address());
    message.set_protocol(static_cast<std::uint32_t>(value.protocol));
}

service_address from_wire(const ServiceAddress& message)
{
    return {from_wire(message.address()), to_protocol(message.protocol())};
}

void to_wire(const route& value, Route& message)
{
    message.set_name(value.name);
    to_wire(value.address, *message.mutable_address());
    for (const auto& it : value.targets) {
        auto& target = *message.add_targets();
        target.set_service(it.service.value());
        target.set_weight(it.weight);
    }
    for (const auto& it : value.former_targets)
        message.add_former(it.value());
    message.set_request_timeout_ms(to_milliseconds(value.request_timeout));
    message.set_latency_target_ms(to_milliseconds(value.latency_target));
    message.set_priority(value.priority);
    message.set_withdrawn_at(value.withdrawn_at.value_or(0));
}

route from_wire(const Route& message)
{
    route result;
    result.name = message.name();
    result.address = from_wire(message.address());
    for (const auto& it : message.targets())
        result.targets.push_back({core::service_id(it.service()), it.weight()});
    for (const auto it : message.former())
        result.former_targets.emplace_back(it);
    result.request_timeout = to_duration(message.request_timeout_ms());
    result.latency_target = to_duration(message.latency_target_ms());
    result.priority = message.priority();
    if (message.withdrawn_at() != 0)
        result.withdrawn_at = message.withdrawn_at();
    return result;
}

void to_wire(const plan_summary& value, PlanSummary& message)
{
    message.set_revision(value.revision);
    message.set_idle_timeout_ms(to_milliseconds(value.idle_timeout));
}

plan_summary from_wire(const PlanSummary& message)
{
    return {message.revision(), to_duration(message.idle_timeout_ms())};
}

void to_wire(const domain& value, Domain& message)
{
    message.set_name(value.name.value());
    message.set_state(static_cast<std::uint32_t>(value.state));
    for (const auto& it : value.history)
        to_wire(it, *message.add_history());
}

domain from_wire(const Domain& message)
{
    if (message.state() > static_cast<std::uint32_t>(domain_state::closed))
        throw core::malformed_message("domain state " + std::to_string(message.state()) + " is unknown");
    domain result;
    result.name = core::failure_domain(message.name());
    result.state = static_cast<domain_state>(message.state());
    for (const auto& it : message.history())
        result.history.push_back(from_wire(it));
    return result;
}

void to_wire(const token& value, Token& message)
{
    message.set_digest(value.digest);
    message.set_owner(value.owner.value());
    message.set_role(static_cast<std::uint32_t>(value.assigned_role));
}

token from_wire(const Token& message)
{
    if (message.role() > static_cast<std::uint32_t>(role::administer))
        throw core::malformed_message("role " + std::to_string(message.role()) + " is unknown");
    token result;
    result.digest = message.digest();
    result.owner = core::neighbour(message.owner());
    result.assigned_role = static_cast<role>(message.role());
    return result;
}

} // namespace ibisdyke::configuration::wire
