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
    /// The bytes are not a complete packet of the format.
    malformed,
    /// A fragment of a packet. Only the first fragment contains the ports, so fragments are not balanced.
    fragment,
    /// The transport protocol is not balanced.
    unsupported,
};

struct parsed_packet {
    parse_status status = parse_status::malformed;
    /// Set when the status is `parsed`.
    routing::packet_info info;

    friend bool operator==(const parsed_packet&, const parsed_packet&) = default;
};

/// The kinds of packets that an upstream sends to its agent.
enum class upstream_packet : std::uint8_t {
    /// An answer of the upstream to a caller.
    answer,
    /// A caller's packet that the upstream returns, because it does not hold the flow of the packet and does not accept
    /// it.
    returned,
    malformed,
};

/// The format of the packets that callers and upstreams exchange. Immutable; used by several threads.
class packet_format {
public:
    virtual ~packet_format() = default;

    /// Parses a caller's packet. Never throws, whatever callers send.
    virtual parsed_packet parse(std::string_view packet) const = 0;

    /// Returns the packet that rejects `packet`: it informs the sender that the flow does not exist. Returns nothing
    /// for a packet that must not be answered, such as a reset.
    virtual std::optional<std::string> make_reject(std::string_view packet) const = 0;

    /// Returns the endpoint to which a packet to a caller is sent.
    virtual core::endpoint caller_endpoint(std::string_view packet) const = 0;
};

/// The format of the packets that an upstream sends to its agent, on platforms where the answers to callers pass
/// through the agent. Immutable; used by several threads.
class upstream_packet_format {
public:
    virtual ~upstream_packet_format() = default;

    virtual upstream_packet classify(std::string_view packet) const = 0;

    /// Parses an answer. Returns the flow as packet_format::parse() does for the caller's packets, with the caller as
    /// the source.
    virtual routing::packet_info parse_answer(std::string_view packet) const = 0;

    /// Returns the tag with which a returned packet was delivered to the upstream.
    virtual std::uint32_t tag_of(std::string_view packet) const = 0;

    /// Returns a caller's packet with its tag set. The upstream keeps the tag in a packet that it returns; apart from
    /// the tag, a returned packet is identical to the packet that the caller sent.
    virtual std::string with_tag(std::string_view packet, std::uint32_t tag) const = 0;
};

} // namespace ibisdyke::frontends
