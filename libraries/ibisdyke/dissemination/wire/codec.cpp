#include "ibisdyke/dissemination/wire/codec.h"

#include "ibisdyke/configuration/wire/record_codec.h"
#include "ibisdyke/core/error.h"
#include "ibisdyke/core/wire/core_codec.h"
#include "ibisdyke/core/wire/message.h"
#include "ibisdyke/dissemination/wire/dissemination.pb.h"
#include "ibisdyke/membership/wire/record_codec.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <zlib.h>

namespace ibisdyke::dissemination::wire {

namespace {

using configuration::wire::from_wire;
using configuration::wire::to_wire;
using core::wire::from_wire;
using core::wire::parse;
using core::wire::to_wire;
using membership::wire::from_wire;
using membership::wire::to_wire;

/// Smaller deltas are sent as they are. A change of one upstream takes about 100 bytes and hardly gets smaller.
constexpr std::size_t min_compressed_delta_bytes = 1024;

/// Largest size of a decompressed state. The state of the design size takes 0.8 MB.
constexpr std::uint32_t max_state_bytes = 64U * 1024 * 1024;

void state_to_wire(const system_state& value, SystemState& message)
{
    to_wire(value.applied, *message.mutable_applied());
    for (const auto& [name, it] : value.configuration.profiles)
        to_wire(it, *message.add_profiles());
    for (const auto& [id, it] : value.configuration.services)
        to_wire(it, *message.add_services());
    for (const auto& [name, it] : value.configuration.domains)
        to_wire(it, *message.add_domains());
    for (const auto& [digest, it] : value.configuration.tokens)
        to_wire(it, *message.add_tokens());
    to_wire(value.membership, *message.mutable_membership());
    for (const auto& [address, it] : value.configuration.routes)
        to_wire(it, *message.add_routes());
    to_wire(value.configuration.plan, *message.mutable_plan());
}

system_state state_from_wire(const SystemState& message)
{
    system_state result;
    result.applied = from_wire(message.applied());
    auto& configuration = result.configuration;
    for (const auto& it : message.profiles())
        configuration.profiles.insert_or_assign(it.name(), from_wire(it));
    for (const auto& it : message.services())
        configuration.services.insert_or_assign(core::service_id(it.id()), from_wire(it));
    for (const auto& it : message.domains())
        configuration.domains.insert_or_assign(core::failure_domain(it.name()), from_wire(it));
    for (const auto& it : message.tokens())
        configuration.tokens.insert_or_assign(it.digest(), from_wire(it));
    result.membership = from_wire(message.membership());
    for (const auto& it : message.routes()) {
        auto route = from_wire(it);
        configuration.routes.insert_or_assign(route.address, std::move(route));
    }
    configuration.plan = from_wire(message.plan());
    return result;
}

void delta_to_wire(const delta& value, Delta& message)
{
    to_wire(value.from, *message.mutable_from());
    to_wire(value.to, *message.mutable_to());
    for (const auto& it : value.profiles)
        to_wire(it, *message.add_profiles());
    for (const auto& it : value.removed_profiles)
        message.add_removed_profiles(it);
    for (const auto& it : value.services)
        to_wire(it, *message.add_services());
    for (const auto& it : value.removed_services)
        message.add_removed_services(it.value());
    for (const auto& it : value.domains)
        to_wire(it, *message.add_domains());
    for (const auto& it : value.upstreams)
        to_wire(it, *message.add_upstreams());
    for (const auto& it : value.removed_upstreams)
        message.add_removed_upstreams(it.value());
    for (const auto& it : value.tokens)
        to_wire(it, *message.add_tokens());
    for (const auto& it : value.removed_tokens)
        message.add_removed_tokens(it);
    for (const auto& [name, endpoint] : value.relays)
        to_wire(endpoint, (*message.mutable_relays())[name]);
    for (const auto& it : value.removed_relays)
        message.add_removed_relays(it);
    for (const auto& [id, endpoint] : value.controls)
        to_wire(endpoint, (*message.mutable_controls())[id.value()]);
    for (const auto& it : value.removed_controls)
        message.add_removed_controls(it.value());
    for (const auto& it : value.routes)
        to_wire(it, *message.add_routes());
    for (const auto& it : value.removed_routes)
        to_wire(it, *message.add_removed_routes());
    to_wire(value.plan, *message.mutable_plan());
}

delta delta_from_wire(const Delta& message)
{
    delta result;
    result.from = from_wire(message.from());
    result.to = from_wire(message.to());
    for (const auto& it : message.profiles())
        result.profiles.push_back(from_wire(it));
    result.removed_profiles.assign(message.removed_profiles().begin(), message.removed_profiles().end());
    for (const auto& it : message.services())
        result.services.push_back(from_wire(it));
    for (const auto it : message.removed_services())
        result.removed_services.emplace_back(it);
    for (const auto& it : message.domains())
        result.domains.push_back(from_wire(it));
    for (const auto& it : message.upstreams())
        result.upstreams.push_back(from_wire(it));
    for (const auto it : message.removed_upstreams())
        result.removed_upstreams.emplace_back(it);
    for (const auto& it : message.tokens())
        result.tokens.push_back(from_wire(it));
    result.removed_tokens.assign(message.removed_tokens().begin(), message.removed_tokens().end());
    for (const auto& [name, endpoint] : message.relays())
        result.relays.emplace(name, from_wire(endpoint));
    result.removed_relays.assign(message.removed_relays().begin(), message.removed_relays().end());
    for (const auto& [id, endpoint] : message.controls())
        result.controls.emplace(core::control_id(id), from_wire(endpoint));
    for (const auto it : message.removed_controls())
        result.removed_controls.emplace_back(it);
    for (const auto& it : message.routes())
        result.routes.push_back(from_wire(it));
    for (const auto& it : message.removed_routes())
        result.removed_routes.push_back(from_wire(it));
    result.plan = from_wire(message.plan());
    return result;
}

std::uint32_t to_age_ms(core::milliseconds age)
{
    constexpr auto max = static_cast<core::milliseconds::rep>(std::numeric_limits<std::uint32_t>::max());
    return static_cast<std::uint32_t>(std::clamp<core::milliseconds::rep>(age.count(), 0, max));
}

CompressedState compress(const std::string& state)
{
    auto n = compressBound(state.size());
    std::string content(n, '\0');
    // Processes of the control group and relays have a small part of a processor.
    if (::compress2(reinterpret_cast<Bytef*>(content.data()), &n, reinterpret_cast<const Bytef*>(state.data()),
            state.size(), Z_BEST_SPEED)
        != Z_OK)
        throw core::error("system state cannot be compressed");
    content.resize(n);
    CompressedState result;
    result.set_content(std::move(content));
    result.set_state_bytes(static_cast<std::uint32_t>(state.size()));
    return result;
}

std::string decompress(const CompressedState& it)
{
    if (it.state_bytes() > max_state_bytes)
        throw core::malformed_message("system state of " + std::to_string(it.state_bytes())
            + " bytes exceeds the limit of " + std::to_string(max_state_bytes) + " bytes");
    std::string result(it.state_bytes(), '\0');
    auto n = static_cast<uLongf>(result.size());
    const auto& content = it.content();
    const auto status = ::uncompress(
        reinterpret_cast<Bytef*>(result.data()), &n, reinterpret_cast<const Bytef*>(content.data()), content.size());
    if (status != Z_OK || n != result.size())
        throw core::malformed_message("compressed system state cannot be decompressed");
    return result;
}

void content_to_wire(const system_state_snapshot& value, FeedMessage& message)
{
    *message.mutable_compressed_snapshot() = compress(encode(*value));
}

void content_to_wire(const delta& value, FeedMessage& message)
{
    delta_to_wire(value, *message.mutable_delta());
}

/// Replaces a large delta in the message by its compressed form.
void compress_large_delta(FeedMessage& message)
{
    if (message.content_case() != FeedMessage::kDelta || message.delta().ByteSizeLong() < min_compressed_delta_bytes)
        return;
    auto compressed = compress(message.delta().SerializeAsString());
    *message.mutable_compressed_delta() = std::move(compressed);
}

void content_to_wire(const keep_alive& value, FeedMessage& message)
{
    to_wire(value.latest, *message.mutable_keep_alive()->mutable_latest());
    message.mutable_keep_alive()->set_age_ms(to_age_ms(value.age));
}

void content_to_wire(const redirect& value, FeedMessage& message)
{
    to_wire(value.target, *message.mutable_redirect()->mutable_target());
}

} // namespace

std::string encode(const system_state& value)
{
    SystemState message;
    state_to_wire(value, message);
    return message.SerializeAsString();
}

system_state decode_system_state(std::string_view bytes)
{
    return state_from_wire(parse<SystemState>(bytes));
}

std::string encode(const delta& value)
{
    Delta message;
    delta_to_wire(value, message);
    return message.SerializeAsString();
}

delta decode_delta(std::string_view bytes)
{
    return delta_from_wire(parse<Delta>(bytes));
}

std::string encode(const subscribe_request& value)
{
    SubscribeRequest message;
    to_wire(value.applied, *message.mutable_applied());
    message.set_name(value.name);
    if (value.relay)
        to_wire(*value.relay, *message.mutable_relay());
    for (const auto& it : value.avoid)
        to_wire(it, *message.add_avoid());
    message.set_reads_compressed_deltas(value.reads_compressed_deltas);
    return message.SerializeAsString();
}

subscribe_request decode_subscribe_request(std::string_view bytes)
{
    const auto message = parse<SubscribeRequest>(bytes);
    subscribe_request result;
    result.applied = from_wire(message.applied());
    result.name = message.name();
    if (message.has_relay())
        result.relay = from_wire(message.relay());
    for (const auto& it : message.avoid())
        result.avoid.push_back(from_wire(it));
    result.reads_compressed_deltas = message.reads_compressed_deltas();
    return result;
}

std::string encode(const subscription_message& value, delta_compression compression)
{
    FeedMessage message;
    std::visit([&](const auto& it) { content_to_wire(it, message); }, value);
    if (compression == delta_compression::large_deltas)
        compress_large_delta(message);
    return message.SerializeAsString();
}

subscription_message decode_subscription_message(std::string_view bytes)
{
    const auto message = parse<FeedMessage>(bytes);
    switch (message.content_case()) {
    case FeedMessage::kSnapshot:
        return std::make_shared<const system_state>(state_from_wire(message.snapshot()));
    case FeedMessage::kCompressedSnapshot:
        return std::make_shared<const system_state>(decode_system_state(decompress(message.compressed_snapshot())));
    case FeedMessage::kDelta:
        return delta_from_wire(message.delta());
    case FeedMessage::kCompressedDelta:
        return decode_delta(decompress(message.compressed_delta()));
    case FeedMessage::kKeepAlive:
        return keep_alive{from_wire(message.keep_alive().latest()), core::milliseconds(message.keep_alive().age_ms())};
    case FeedMessage::kRedirect:
        return redirect{from_wire(message.redirect().target())};
    case FeedMessage::CONTENT_NOT_SET:
        break;
    }
    throw core::malformed_message("subscription message has no content");
}

} // namespace ibisdyke::dissemination::wire
