#include "ibisdyke/membership/wire/codec.h"

#include "ibisdyke/core/wire/core_codec.h"
#include "ibisdyke/core/wire/message.h"
#include "ibisdyke/membership/wire/record_codec.h"

#include <limits>

namespace ibisdyke::membership::wire {

namespace {

using core::wire::from_wire;
using core::wire::parse;
using core::wire::to_enum;
using core::wire::to_finite;
using core::wire::to_wire;

std::uint64_t to_unix_milliseconds(core::wall_time it)
{
    return static_cast<std::uint64_t>(it.time_since_epoch().count());
}

core::wall_time to_wall_time(std::uint64_t milliseconds)
{
    return core::wall_time(core::milliseconds(static_cast<core::milliseconds::rep>(milliseconds)));
}

std::uint16_t to_port(std::uint32_t number)
{
    if (number > std::numeric_limits<std::uint16_t>::max())
        throw core::malformed_message("port " + std::to_string(number) + " is out of range");
    return static_cast<std::uint16_t>(number);
}

/// Encodes both endpoints of an agent. All messages name these fields alike.
template <typename Value, typename Message>
void endpoints_to_wire(const Value& value, Message& message)
{
    message.set_packet_address(value.packet_endpoint.address);
    message.set_packet_port(value.packet_endpoint.port);
    if (value.request_endpoint.address != value.packet_endpoint.address)
        message.set_request_address(value.request_endpoint.address);
    message.set_request_port(value.request_endpoint.port);
}

template <typename Message, typename Value>
void endpoints_from_wire(const Message& message, Value& value)
{
    value.packet_endpoint = {message.packet_address(), to_port(message.packet_port())};
    const auto address = message.has_request_address() ? message.request_address() : message.packet_address();
    value.request_endpoint = {address, to_port(message.request_port())};
}

template <typename Message>
void relays_to_wire(const std::map<std::string, core::endpoint>& relays, Message& message)
{
    for (const auto& [name, endpoint] : relays)
        to_wire(endpoint, (*message.mutable_relays())[name]);
}

template <typename Message>
std::map<std::string, core::endpoint> relays_from_wire(const Message& message)
{
    std::map<std::string, core::endpoint> result;
    for (const auto& [name, endpoint] : message.relays())
        result.emplace(name, from_wire(endpoint));
    return result;
}

template <typename Message>
void controls_to_wire(const std::map<core::control_id, core::endpoint>& controls, Message& message)
{
    for (const auto& [id, endpoint] : controls)
        to_wire(endpoint, (*message.mutable_controls())[id.value()]);
}

template <typename Message>
std::map<core::control_id, core::endpoint> controls_from_wire(const Message& message)
{
    std::map<core::control_id, core::endpoint> result;
    for (const auto& [id, endpoint] : message.controls())
        result.emplace(core::control_id(id), from_wire(endpoint));
    return result;
}

void join_to_wire(const join& value, Join& message)
{
    message.set_service(value.service.value());
    message.set_name(value.name);
    message.set_domain(value.domain.value());
    endpoints_to_wire(value, message);
    message.set_agent(value.agent.value());
    message.set_slots(value.slots);
    message.set_incarnation(value.incarnation.value());
}

join join_from_wire(const Join& message)
{
    join result;
    result.service = core::service_id(message.service());
    result.name = message.name();
    result.domain = core::failure_domain(message.domain());
    endpoints_from_wire(message, result);
    result.agent = core::incarnation(message.agent());
    result.slots = message.slots();
    result.incarnation = core::incarnation(message.incarnation());
    return result;
}

void update_to_wire(const upstream_update& value, UpstreamUpdate& message)
{
    message.set_id(value.id.value());
    message.set_state(static_cast<std::uint32_t>(value.state));
    message.set_agent(value.agent.value());
    endpoints_to_wire(value, message);
    message.set_slots(value.slots);
    message.set_incarnation(value.incarnation.value());
    if (value.flow_watermark != core::version{})
        to_wire(value.flow_watermark, *message.mutable_flow_watermark());
    message.set_proposed_at(to_unix_milliseconds(value.proposed_at));
}

upstream_update update_from_wire(const UpstreamUpdate& message)
{
    upstream_update result;
    result.id = core::upstream_id(message.id());
    result.state = to_enum(message.state(), upstream_state::gone, "upstream state");
    result.agent = core::incarnation(message.agent());
    endpoints_from_wire(message, result);
    result.slots = message.slots();
    result.incarnation = core::incarnation(message.incarnation());
    result.flow_watermark = from_wire(message.flow_watermark());
    result.proposed_at = to_wall_time(message.proposed_at());
    return result;
}

void status_to_wire(const sender_status& value, SenderFacts& message)
{
    message.set_sender(value.sender.value());
    message.set_sequence(value.sequence);
    to_wire(value.applied, *message.mutable_applied());
    message.set_open_flows(value.open_flows);
    if (value.flow_watermark != core::version{})
        to_wire(value.flow_watermark, *message.mutable_flow_watermark());
    message.set_usage(value.usage);
}

sender_status status_from_wire(const SenderFacts& message)
{
    return {core::incarnation(message.sender()), message.sequence(), from_wire(message.applied()), message.open_flows(),
        from_wire(message.flow_watermark()), message.usage()};
}

/// Caps an age from the wire, so that it can be subtracted from the current time.
core::milliseconds to_age(std::uint64_t milliseconds)
{
    constexpr std::uint64_t max_age_ms = 3'600'000;
    return core::milliseconds(std::min(milliseconds, max_age_ms));
}

} // namespace

void to_wire(const upstream& value, Upstream& message)
{
    message.set_id(value.id.value());
    message.set_service(value.service.value());
    message.set_name(value.name);
    message.set_domain(value.domain.value());
    endpoints_to_wire(value, message);
    message.set_agent(value.agent.value());
    message.set_agent_replaced(value.agent_replaced);
    message.set_slots(value.slots);
    message.set_incarnation(value.incarnation.value());
    message.set_state(static_cast<std::uint32_t>(value.state));
    if (value.gone_at)
        message.set_gone_at(to_unix_milliseconds(*value.gone_at));
    for (const auto& it : value.history)
        to_wire(it, *message.add_history());
    if (value.flow_watermark != core::version{})
        to_wire(value.flow_watermark, *message.mutable_flow_watermark());
    if (value.history_exact_since != core::version{})
        to_wire(value.history_exact_since, *message.mutable_exact_since());
    if (value.identity_since != core::version{})
        to_wire(value.identity_since, *message.mutable_identity_since());
}

upstream from_wire(const Upstream& message)
{
    upstream result;
    result.id = core::upstream_id(message.id());
    result.service = core::service_id(message.service());
    result.name = message.name();
    result.domain = core::failure_domain(message.domain());
    endpoints_from_wire(message, result);
    result.agent = core::incarnation(message.agent());
    result.agent_replaced = message.agent_replaced();
    result.slots = message.slots();
    result.incarnation = core::incarnation(message.incarnation());
    result.state = to_enum(message.state(), upstream_state::gone, "upstream state");
    if (message.has_gone_at())
        result.gone_at = to_wall_time(message.gone_at());
    for (const auto& it : message.history())
        result.history.push_back(from_wire(it));
    result.flow_watermark = from_wire(message.flow_watermark());
    result.history_exact_since = from_wire(message.exact_since());
    result.identity_since = from_wire(message.identity_since());
    return result;
}

void to_wire(const membership_state& value, MembershipState& message)
{
    for (const auto& [id, it] : value.upstreams)
        to_wire(it, *message.add_upstreams());
    relays_to_wire(value.relays, message);
    controls_to_wire(value.controls, message);
}

membership_state from_wire(const MembershipState& message)
{
    membership_state result;
    for (const auto& it : message.upstreams()) {
        auto value = from_wire(it);
        const auto id = value.id;
        result.upstreams.insert_or_assign(result.upstreams.end(), id, std::move(value));
    }
    result.relays = relays_from_wire(message);
    result.controls = controls_from_wire(message);
    return result;
}

void to_wire(const heartbeat& value, Heartbeat& message)
{
    message.set_sender_role(static_cast<std::uint32_t>(value.sender_role));
    message.set_sender(value.sender.value());
    message.set_sequence(value.sequence);
    message.set_name(value.name);
    message.set_domain(value.domain.value());
    to_wire(value.applied, *message.mutable_applied());
    if (value.peer_endpoint != core::endpoint{})
        to_wire(value.peer_endpoint, *message.mutable_peer_endpoint());
    message.set_service(value.service);
    endpoints_to_wire(value, message);
    message.set_slots(value.slots);
    message.set_upstream_incarnation(value.upstream_incarnation.value());
    message.set_draining(value.draining);
    message.set_departed(value.departed);
    message.set_open_flows(value.open_flows);
    if (value.flow_watermark != core::version{})
        to_wire(value.flow_watermark, *message.mutable_flow_watermark());
    message.set_usage(value.usage);
}

heartbeat from_wire(const Heartbeat& message)
{
    heartbeat result;
    result.sender_role = to_enum(message.sender_role(), process_role::agent, "process role");
    result.sender = core::incarnation(message.sender());
    result.sequence = message.sequence();
    result.name = message.name();
    result.domain = core::failure_domain(message.domain());
    result.applied = from_wire(message.applied());
    result.peer_endpoint = from_wire(message.peer_endpoint());
    result.service = message.service();
    endpoints_from_wire(message, result);
    result.slots = message.slots();
    result.upstream_incarnation = core::incarnation(message.upstream_incarnation());
    result.draining = message.draining();
    result.departed = message.departed();
    result.open_flows = message.open_flows();
    result.flow_watermark = from_wire(message.flow_watermark());
    result.usage = message.usage();
    return result;
}

std::string encode(const heartbeat& value)
{
    Heartbeat message;
    to_wire(value, message);
    return message.SerializeAsString();
}

heartbeat decode_heartbeat(std::string_view bytes)
{
    return from_wire(parse<Heartbeat>(bytes));
}

std::string encode(const heartbeat_answer& value)
{
    HeartbeatAnswer message;
    message.set_result(static_cast<std::uint32_t>(value.result));
    if (value.upstream)
        message.set_upstream(value.upstream->value());
    to_wire(value.latest, *message.mutable_latest());
    message.set_mean_open_flows(value.mean_open_flows);
    return message.SerializeAsString();
}

heartbeat_answer decode_heartbeat_answer(std::string_view bytes)
{
    const auto message = parse<HeartbeatAnswer>(bytes);
    heartbeat_answer result;
    result.result = to_enum(message.result(), heartbeat_result::name_taken, "heartbeat result");
    if (message.has_upstream())
        result.upstream = core::upstream_id(message.upstream());
    result.latest = from_wire(message.latest());
    result.mean_open_flows = to_finite(message.mean_open_flows(), "mean of open flows");
    return result;
}

std::string encode(const lease_batch& value)
{
    LeaseBatch message;
    message.set_follower(value.follower.value());
    message.set_number(value.number);
    message.set_base(value.base);
    message.set_stamp(value.echoed_timestamp);
    message.set_senders(value.sender_count);
    for (const auto& it : value.full_heartbeats)
        to_wire(it, *message.add_joined());
    for (const auto& it : value.changed)
        status_to_wire(it, *message.add_changed());
    for (const auto& it : value.stale) {
        auto& to = *message.add_silent();
        to.set_sender(it.sender.value());
        to.set_age_ms(static_cast<std::uint64_t>(it.age.count()));
    }
    for (const auto& it : value.removed)
        message.add_ended(it.value());
    return message.SerializeAsString();
}

lease_batch decode_lease_batch(std::string_view bytes)
{
    const auto message = parse<LeaseBatch>(bytes);
    lease_batch result;
    result.follower = core::incarnation(message.follower());
    result.number = message.number();
    result.base = message.base();
    result.echoed_timestamp = message.stamp();
    result.sender_count = message.senders();
    for (const auto& it : message.joined())
        result.full_heartbeats.push_back(from_wire(it));
    for (const auto& it : message.changed())
        result.changed.push_back(status_from_wire(it));
    for (const auto& it : message.silent())
        result.stale.push_back({core::incarnation(it.sender()), to_age(it.age_ms())});
    for (const auto it : message.ended())
        result.removed.emplace_back(it);
    return result;
}

std::string encode(const lease_batch_answer& value)
{
    LeaseBatchAnswer message;
    message.set_result(static_cast<std::uint32_t>(value.result));
    message.set_stamp(value.leader_timestamp);
    for (const auto& it : value.refused) {
        auto& to = *message.add_refused();
        to.set_sender(it.sender.value());
        to.set_result(static_cast<std::uint32_t>(it.result));
    }
    for (const auto& it : value.means) {
        auto& to = *message.add_means();
        to.set_service(it.service);
        to.set_open_flows(it.open_flows);
    }
    return message.SerializeAsString();
}

lease_batch_answer decode_lease_batch_answer(std::string_view bytes)
{
    const auto message = parse<LeaseBatchAnswer>(bytes);
    lease_batch_answer result;
    result.result = to_enum(message.result(), batch_result::not_leader, "batch result");
    result.leader_timestamp = message.stamp();
    for (const auto& it : message.refused())
        result.refused.push_back(
            {core::incarnation(it.sender()), to_enum(it.result(), heartbeat_result::name_taken, "heartbeat result")});
    for (const auto& it : message.means())
        result.means.push_back({it.service(), to_finite(it.open_flows(), "mean of open flows")});
    return result;
}

std::string encode(const membership_change& value)
{
    MembershipChange message;
    for (const auto& it : value.joins)
        join_to_wire(it, *message.add_joins());
    for (const auto& it : value.updates)
        update_to_wire(it, *message.add_updates());
    for (const auto& it : value.forgotten)
        message.add_forgotten(it.value());
    relays_to_wire(value.relays, message);
    for (const auto& it : value.removed_relays)
        message.add_removed_relays(it);
    controls_to_wire(value.controls, message);
    for (const auto& it : value.removed_controls)
        message.add_removed_controls(it.value());
    return message.SerializeAsString();
}

membership_change decode_membership_change(std::string_view bytes)
{
    const auto message = parse<MembershipChange>(bytes);
    membership_change result;
    for (const auto& it : message.joins())
        result.joins.push_back(join_from_wire(it));
    for (const auto& it : message.updates())
        result.updates.push_back(update_from_wire(it));
    for (const auto it : message.forgotten())
        result.forgotten.emplace_back(it);
    result.relays = relays_from_wire(message);
    result.removed_relays.assign(message.removed_relays().begin(), message.removed_relays().end());
    result.controls = controls_from_wire(message);
    for (const auto it : message.removed_controls())
        result.removed_controls.emplace_back(it);
    return result;
}

std::string encode(const membership_state& value)
{
    MembershipState message;
    to_wire(value, message);
    return message.SerializeAsString();
}

membership_state decode_membership_state(std::string_view bytes)
{
    return from_wire(parse<MembershipState>(bytes));
}

} // namespace ibisdyke::membership::wire
