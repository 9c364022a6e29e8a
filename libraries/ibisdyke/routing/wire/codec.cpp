#include "ibisdyke/routing/wire/codec.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/core/wire/core_codec.h"
#include "ibisdyke/core/wire/message.h"
#include "ibisdyke/routing/wire/packet_header.pb.h"

#include <optional>

namespace ibisdyke::routing::wire {

namespace {

constexpr unsigned bits_per_byte = 8;
constexpr unsigned byte_mask = 0xff;
constexpr unsigned ip_version_shift = 4;
constexpr unsigned ipv4 = 4;

std::uint32_t write_position(const std::optional<std::uint32_t>& it)
{
    return it ? *it + 1 : 0;
}

std::optional<std::uint32_t> read_position(std::uint32_t it)
{
    return it == 0 ? std::nullopt : std::optional<std::uint32_t>(it - 1);
}

/// Throws core::malformed_message if the header refers to a member beyond its chain.
void check_positions(const packet_header& it)
{
    const auto n = it.chain.size();
    if (it.candidates > n || (it.restarted && *it.restarted >= n) || (it.fallback && *it.fallback >= n))
        throw core::malformed_message("packet header refers to a member beyond its " + std::to_string(n) + " members");
}

void write_candidate(const target_fallback& it, QueueingCandidate& to)
{
    to.set_service(it.service.value());
    to.mutable_member()->set_id(it.member.id.value());
    core::wire::to_wire(it.member.packet_endpoint, *to.mutable_member()->mutable_packet_endpoint());
    to.set_failing(it.load.failing);
    to.set_waiting(it.load.queue_per_mille);
    to.set_open_flows(it.load.open_flows);
}

target_fallback read_candidate(const QueueingCandidate& it)
{
    return {core::service_id(it.service()),
        {core::upstream_id(it.member().id()), core::wire::from_wire(it.member().packet_endpoint())},
        {it.failing(), it.waiting(), it.open_flows()}};
}

/// Parses into a message that is kept per thread, so that decoding a header allocates no protobuf objects. The next
/// call overwrites the result.
const PacketHeader& parse_header(std::string_view bytes)
{
    thread_local PacketHeader message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        throw core::malformed_message("packet header cannot be decoded");
    return message;
}

} // namespace

std::string encode(const packet_header& it)
{
    PacketHeader message;
    core::wire::to_wire(it.table, *message.mutable_table());
    message.set_service(it.service.value());
    for (const auto& member : it.chain) {
        auto& to = *message.add_chain();
        to.set_id(member.id.value());
        core::wire::to_wire(member.packet_endpoint, *to.mutable_packet_endpoint());
    }
    message.set_candidates(it.candidates);
    message.set_position(it.position);
    message.set_phase(static_cast<SearchPhase>(it.phase));
    core::wire::to_wire(it.sender, *message.mutable_sender());
    message.set_restarted(write_position(it.restarted));
    message.set_recovery_left_ms(it.recovery_left_ms);
    message.set_fallback(write_position(it.fallback));
    message.set_fallback_failing(it.fallback_load.failing);
    message.set_fallback_waiting(it.fallback_load.queue_per_mille);
    message.set_fallback_open_flows(it.fallback_load.open_flows);
    message.set_hops(it.hops);
    message.set_asked(it.asked);
    message.set_search_offset(it.search_offset);
    message.set_is_new(it.is_new);
    for (const auto& service : it.searched)
        message.add_searched(service.value());
    message.set_searched_through(it.searched_through.value());
    for (const auto& service : it.offered)
        message.add_offered(service.value());
    if (it.queueing_candidate)
        write_candidate(*it.queueing_candidate, *message.mutable_queueing_candidate());
    message.set_awaits_retransmission(it.awaits_retransmission);
    message.set_unanswering(it.unanswering ? it.unanswering->value() : 0);
    return message.SerializeAsString();
}

std::string encode(const version_notice& it)
{
    VersionNotice message;
    core::wire::to_wire(it.latest, *message.mutable_latest());
    message.set_upstream(it.upstream.value());
    message.set_stopping(it.stopping);
    return message.SerializeAsString();
}

packet_header decode_packet_header(std::string_view bytes)
{
    const auto& message = parse_header(bytes);
    if (message.chain_size() > static_cast<int>(max_header_members))
        throw core::malformed_message("packet header names " + std::to_string(message.chain_size()) + " members");
    packet_header result;
    result.table = core::wire::from_wire(message.table());
    result.service = core::service_id(message.service());
    result.chain.reserve(static_cast<std::size_t>(message.chain_size()));
    for (const auto& it : message.chain())
        result.chain.push_back({core::upstream_id(it.id()), core::wire::from_wire(it.packet_endpoint())});
    result.candidates = message.candidates();
    result.position = message.position();
    result.phase =
        core::wire::to_enum(static_cast<std::uint32_t>(message.phase()), search_phase::assign, "search phase");
    result.sender = core::wire::from_wire(message.sender());
    result.restarted = read_position(message.restarted());
    result.recovery_left_ms = message.recovery_left_ms();
    result.fallback = read_position(message.fallback());
    result.fallback_load = {message.fallback_failing(), message.fallback_waiting(), message.fallback_open_flows()};
    check_positions(result);
    result.hops = message.hops();
    result.asked = message.asked();
    result.search_offset = message.search_offset();
    result.is_new = message.is_new();
    if (message.searched_size() > static_cast<int>(max_listed_services))
        throw core::malformed_message("packet header names " + std::to_string(message.searched_size()) + " services");
    for (const auto service : message.searched())
        result.searched.emplace_back(service);
    result.searched_through = core::service_id(message.searched_through());
    if (message.offered_size() > static_cast<int>(max_offered_services))
        throw core::malformed_message("packet header names " + std::to_string(message.offered_size())
            + " services that were offered the flow, more than " + std::to_string(max_offered_services));
    for (const auto service : message.offered())
        result.offered.emplace_back(service);
    if (message.has_queueing_candidate())
        result.queueing_candidate = read_candidate(message.queueing_candidate());
    result.awaits_retransmission = message.awaits_retransmission();
    if (message.unanswering() != 0)
        result.unanswering = core::upstream_id(message.unanswering());
    return result;
}

version_notice decode_version_notice(std::string_view bytes)
{
    const auto message = core::wire::parse<VersionNotice>(bytes);
    return {core::wire::from_wire(message.latest()), core::upstream_id(message.upstream()), message.stopping()};
}

std::string encode_origin(const core::version& table, const core::endpoint& sender)
{
    PacketHeader message;
    core::wire::to_wire(table, *message.mutable_table());
    core::wire::to_wire(sender, *message.mutable_sender());
    return message.SerializeAsString();
}

std::string encode_chain(const core::service_id& service, const chain& members)
{
    PacketHeader message;
    message.set_service(service.value());
    for (const auto& member : members.members) {
        auto& to = *message.add_chain();
        to.set_id(member.id.value());
        core::wire::to_wire(member.packet_endpoint, *to.mutable_packet_endpoint());
    }
    message.set_candidates(static_cast<std::uint32_t>(members.candidates));
    return message.SerializeAsString();
}

std::string encode_phase(search_phase phase)
{
    PacketHeader message;
    message.set_phase(static_cast<SearchPhase>(phase));
    return message.SerializeAsString();
}

std::string encode_asked(std::uint32_t asked)
{
    PacketHeader message;
    message.set_asked(asked);
    return message.SerializeAsString();
}

std::string encode_length(std::size_t header_bytes)
{
    return {static_cast<char>(header_bytes >> bits_per_byte), static_cast<char>(header_bytes & byte_mask)};
}

std::string encode_prefix(const packet_header& it)
{
    const auto header = encode(it);
    return encode_length(header.size()) + header;
}

std::string encode_notice_datagram(const version_notice& it)
{
    return encode_length(0) + encode(it);
}

std::string encode_probe_datagram(const core::version& table, const core::endpoint& sender)
{
    const auto origin = encode_origin(table, sender);
    return encode_length(origin.size()) + origin;
}

datagram_parts split_datagram(std::string_view datagram)
{
    if (datagram.size() < length_bytes)
        throw core::malformed_message("datagram of " + std::to_string(datagram.size()) + " bytes");
    const auto first = static_cast<unsigned char>(datagram[0]);
    const auto second = static_cast<unsigned char>(datagram[1]);
    if (first >> ip_version_shift == ipv4)
        return {datagram_kind::plain_packet, {}, datagram};
    const auto length = (std::size_t{first} << bits_per_byte) | second;
    const auto rest = datagram.substr(length_bytes);
    if (length == 0)
        return {datagram_kind::notice, rest, {}};
    if (length > rest.size() || length > max_prefix_bytes)
        throw core::malformed_message("datagram announces a header of " + std::to_string(length) + " bytes");
    const auto kind = length == rest.size() ? datagram_kind::probe : datagram_kind::packet;
    return {kind, rest.substr(0, length), rest.substr(length)};
}

} // namespace ibisdyke::routing::wire
