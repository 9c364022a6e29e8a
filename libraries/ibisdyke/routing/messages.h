#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/ids.h"
#include "ibisdyke/core/version.h"
#include "ibisdyke/routing/chain.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace ibisdyke::routing {

/// What an agent is asked to do with a packet of a flow that it does not know. The numbers are those of the wire.
enum class search_phase : std::uint8_t {
    /// Pass the packet on: the flow may be open at a later member.
    find,
    /// Take the flow if it may begin here: no member knows it.
    place,
    /// Take the flow although another member would suit better: no member knows it, and none of the others can take it.
    assign,
};

/// Bounds the members in a header. Higher than max_chain_length, because agents may add members that the balancer's
/// chain left out. At most the bits of packet_header::asked.
constexpr std::size_t max_header_members = 24;

/// Bounds the services that are searched for one packet.
constexpr std::size_t max_searched_services = 8;

/// Bounds the agents that one packet visits.
constexpr std::uint32_t max_hops = 64;

/// A member of a chain as it stands in a packet header.
struct header_member {
    core::upstream_id id;
    core::endpoint packet_endpoint;

    friend bool operator==(const header_member&, const header_member&) = default;
};

/// How much an upstream has to do, for the choice among candidates. Lower is better.
struct upstream_load {
    /// Requests beyond the free slots, in thousandths of the slots: how long the next request waits for one.
    std::uint32_t waiting = 0;
    std::uint32_t open_flows = 0;

    friend bool operator==(const upstream_load&, const upstream_load&) = default;
    friend auto operator<=>(const upstream_load&, const upstream_load&) = default;
};

/// Precedes each packet on its way from the balancer along the agents of its bucket's chain.
struct packet_header {
    /// The table of the balancer that sent the packet.
    core::version table;
    core::service_id service;
    std::vector<header_member> chain;
    /// How many members at the front may take new flows.
    std::uint32_t candidates = 0;
    /// Index in `chain` of the agent that the packet is sent to.
    std::uint32_t position = 0;
    search_phase phase = search_phase::find;
    /// Takes version notices: the balancer that sent the packet.
    core::endpoint sender;
    /// Index in `chain` of a member that has restarted lately and so may have lost the flow.
    std::optional<std::uint32_t> restarted;
    /// How much of that member's recovery window is left, in milliseconds.
    std::uint32_t recovery_left_ms = 0;
    /// Index in `chain` of the least loaded candidate that could take the flow but has more to do than it should.
    std::optional<std::uint32_t> fallback;
    /// What that candidate has to do.
    upstream_load fallback_load;
    /// Agents visited so far.
    std::uint32_t hops = 0;
    /// A search has found no member that knows the flow. Redirect entries of it are out of date.
    bool is_new = false;
    /// Other services of the flow's route whose members were asked and did not know the flow.
    std::vector<core::service_id> searched;
    /// Bit n is set when chain[n] has had the packet in this phase and did not know the flow, or only knew where it was
    /// passed along. Redirect entries that are out of date must not lead the packet in a circle.
    std::uint32_t asked = 0;

    friend bool operator==(const packet_header&, const packet_header&) = default;
};

/// Sent by an agent to the sender of a packet whose header names an older table than the agent's, in answer to a probe,
/// and when the agent stops.
struct version_notice {
    core::version latest;
    /// The upstream of the agent.
    core::upstream_id upstream;
    /// The agent reads no more packets.
    bool stopping = false;

    friend bool operator==(const version_notice&, const version_notice&) = default;
};

} // namespace ibisdyke::routing
