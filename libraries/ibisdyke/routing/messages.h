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

/// What an agent should do with a packet of a flow that it does not know. The values are sent on the wire.
enum class search_phase : std::uint8_t {
    /// Forward the packet, because the flow may be open at a later member.
    find,
    /// Begin the flow here if the upstream may take it. No member knows the flow.
    place,
    /// Begin or adopt the flow here even if the upstream is loaded; a flow that other candidates have passed back only
    /// if it can still be answered in time. No member knows the flow, and this one is the least loaded candidate or may
    /// have lost the flow in a restart. The baseline routers use it for every packet.
    assign,
};

/// Maximum number of members in a header. Higher than max_chain_length, because agents may add members that are not in
/// the balancer's chain. Limited by the number of bits in packet_header::asked.
constexpr std::size_t max_header_members = 24;

/// Maximum number of searched services that a header lists. Further services are searched in the order of their ids, so
/// that the size of the header does not depend on the number of services.
constexpr std::size_t max_listed_services = 8;

/// Maximum number of services that a packet leaves for another target of its route before they were searched
/// completely. Keeps the header within the size limit of a datagram's prefix.
constexpr std::size_t max_offered_services = 4;

/// Maximum number of agents that one packet visits in the search of one service, or of the members that its header
/// lists if the service has more.
constexpr std::uint32_t max_hops = 64;

/// A chain member in a packet header.
struct header_member {
    core::upstream_id id;
    core::endpoint packet_endpoint;

    friend bool operator==(const header_member&, const header_member&) = default;
};

/// The load of an upstream, for the choice among candidates. Lower is better.
struct upstream_load {
    /// Whether the upstream's requests fail. It then gets a new flow only if no other candidate can take it.
    bool failing = false;
    /// Requests beyond the free slots, in thousandths of the slots. Proportional to the wait of the next request.
    std::uint32_t queue_per_mille = 0;
    std::uint32_t open_flows = 0;

    friend bool operator==(const upstream_load&, const upstream_load&) = default;
    friend auto operator<=>(const upstream_load&, const upstream_load&) = default;
};

/// A candidate that may take a new flow only into its queue, in the service that the flow was offered to first.
struct target_fallback {
    core::service_id service;
    header_member member;
    upstream_load load;

    friend bool operator==(const target_fallback&, const target_fallback&) = default;
};

/// Precedes each packet on its way from the balancer through the agents of its bucket's chain.
struct packet_header {
    /// The version of the table that `chain` was taken from; the balancer's unless an agent has replaced the chain.
    core::version table;
    core::service_id service;
    std::vector<header_member> chain;
    /// Number of members at the front of `chain` that may take new flows.
    std::uint32_t candidates = 0;
    /// Index in `chain` of the agent that the packet is sent to.
    std::uint32_t position = 0;
    search_phase phase = search_phase::find;
    /// The balancer that sent the packet; receives version notices.
    core::endpoint sender;
    /// Index in `chain` of a member that has restarted recently and may have lost the flow.
    std::optional<std::uint32_t> restarted;
    /// The rest of the restarted member's recovery window, in milliseconds.
    std::uint32_t recovery_left_ms = 0;
    /// Index in `chain` of the least loaded candidate so far that may take the flow but is busy or above the mean.
    std::optional<std::uint32_t> fallback;
    /// The load of the fallback candidate.
    upstream_load fallback_load;
    /// Number of agents visited so far in the search of this service.
    std::uint32_t hops = 0;
    /// Whether a search has found no member that knows the flow. Redirect entries for the flow are then out of date.
    bool is_new = false;
    /// Number of members at the front of the service's search order that were asked and are no longer in `chain`.
    /// Greater than 0 only in the search of a service that has more members than a header lists.
    std::uint32_t search_offset = 0;
    /// The services of the flow's route that were searched first, without success.
    std::vector<core::service_id> searched;
    /// Once `searched` is full, the services with ids up to this one have been searched as well; otherwise 0.
    core::service_id searched_through;
    /// The services whose agents have passed the packet on to another target of the route, because none of their
    /// candidates had room for the new flow or because of a redirect entry. They are not offered the flow again.
    std::vector<core::service_id> offered;
    /// Gets the new flow if no target of the route has room for it.
    std::optional<target_fallback> queueing_candidate;
    /// Whether a service in `offered` would have dropped the SYN to wait for its next retransmission.
    bool awaits_retransmission = false;
    /// A member of another service that did not answer an earlier copy of this SYN. It is not asked again.
    std::optional<core::upstream_id> unanswering;
    /// Bit n is set when chain[n] has received the packet in this phase and had no entry for the flow, or only a
    /// redirect entry. Prevents loops through outdated redirect entries. For a SYN, a balancer also sets the bits of
    /// unreachable members, so that they are not asked.
    std::uint32_t asked = 0;

    friend bool operator==(const packet_header&, const packet_header&) = default;
};

/// Sent by an agent to the sender of a packet whose header has an older table version than the agent, in response to a
/// probe, and when the agent stops.
struct version_notice {
    core::version latest;
    /// The agent's upstream.
    core::upstream_id upstream;
    /// Whether the agent has stopped reading packets.
    bool stopping = false;

    friend bool operator==(const version_notice&, const version_notice&) = default;
};

} // namespace ibisdyke::routing
