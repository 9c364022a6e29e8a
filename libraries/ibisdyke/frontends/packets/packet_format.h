#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/routing/packet_info.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ibisdyke::frontends {

enum class parse_status : std::uint8_t {
    parsed,
    /// Not a complete packet of the format.
    malformed,
    /// Only the first fragment of a packet has ports, so no fragment is balanced.
    fragment,
    /// A transport protocol that is not balanced.
    unsupported,
};

struct parsed_packet {
    parse_status status = parse_status::malformed;
    /// Set when the status is `parsed`.
    routing::packet_info facts;

    friend bool operator==(const parsed_packet&, const parsed_packet&) = default;
};

/// What an upstream sends to its agent.
enum class upstream_packet : std::uint8_t {
    /// A packet to a caller.
    answer,
    /// A packet of a caller, returned because the upstream neither holds its flow nor takes it.
    disowned,
    malformed,
};

/// The packets that callers and upstreams exchange. Immutable; used by several threads.
class packet_format {
public:
    virtual ~packet_format() = default;

    /// Reads a packet of a caller. Never throws for what callers send.
    virtual parsed_packet parse(std::string_view packet) const = 0;

    /// Returns the packet that tells the sender of `packet` that its flow does not exist. Returns nothing for a packet
    /// that must not be answered, such as a reset.
    virtual std::optional<std::string> make_reject(std::string_view packet) const = 0;

    /// Returns where a packet to a caller goes.
    virtual core::endpoint caller_endpoint(std::string_view packet) const = 0;
};

/// The packets that an upstream hands to its agent, on platforms where its answers pass the agent. Immutable; used by
/// several threads.
class upstream_packet_format {
public:
    virtual ~upstream_packet_format() = default;

    virtual upstream_packet classify(std::string_view packet) const = 0;

    /// Reads an answer. The flow is the caller's, as parse() returns it for the caller's packets.
    virtual routing::packet_info parse_answer(std::string_view packet) const = 0;

    /// Returns the tag that a disowned packet had on its way to the upstream.
    virtual std::uint32_t tag_of(std::string_view packet) const = 0;

    /// Returns a caller's packet with a tag, which the upstream gives back with a packet that it disowns. A disowned
    /// packet is otherwise again as its caller sent it.
    virtual std::string with_tag(std::string_view packet, std::uint32_t tag) const = 0;
};

} // namespace ibisdyke::frontends
