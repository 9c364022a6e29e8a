#pragma once

#include "ibisdyke/core/time.h"
#include "ibisdyke/core/version.h"
#include "ibisdyke/routing/flow_key.h"
#include "ibisdyke/routing/messages.h"
#include "ibisdyke/routing/packet_info.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ibisdyke::routing {

/// Limits of a flow table.
struct flow_limits {
    /// Maximum number of flows and redirect entries together.
    std::size_t max_entries = 262'144;
    /// Idle limit of an embryonic entry, of which only the first packet or retransmitted SYNs have arrived. Longer than
    /// the period in which a SYN is retransmitted.
    std::chrono::seconds embryonic_idle{60};
    std::chrono::seconds udp_idle{300};
    core::milliseconds tcp_idle = std::chrono::hours(2);
    /// Idle limit after a FIN or RST. While the upstream still sends, the caller's acknowledgements keep the entry.
    std::chrono::seconds closing_idle{60};

    friend bool operator==(const flow_limits&, const flow_limits&) = default;
};

/// An agent's record of a flow that is open at this agent, or a redirect entry for a flow that it passed to a member.
struct flow_entry {
    /// The member to which this agent passed the flow; nothing if the flow is open here.
    std::optional<header_member> redirect;
    /// The version of the system state at which the flow began.
    core::version began;
    /// The service of the member in `redirect`; nothing if it is the agent's own service.
    std::optional<core::service_id> redirect_service = std::nullopt;
    /// Whether this agent, as the last candidate, assigned the flow to the member in `redirect`.
    bool assigned = false;

    friend bool operator==(const flow_entry&, const flow_entry&) = default;
};

/// The flows of one upstream, bounded in number. An entry stays while packets of its flow arrive. Used by one thread.
class flow_table {
public:
    explicit flow_table(const flow_limits& limits);

    /// Records a packet of the flow and returns its entry, or null when the flow is unknown. The entry is valid until
    /// the next call that changes the table. A SYN after a FIN or RST begins a new connection between the same ports.
    /// It removes the old entry and counts as unknown, because the upstream may no longer take new flows.
    const flow_entry* touch(const packet_info& packet, core::time_point now);

    /// Adds or replaces the entry of the packet's flow. A full table evicts its oldest embryonic entry. Returns false
    /// and adds nothing if a full table has no embryonic entry, so that a flood never evicts an established flow.
    bool insert(const packet_info& packet, const flow_entry& entry, core::time_point now);

    void erase(const flow_key& flow);

    void clear();

    /// Removes entries that have been idle for too long.
    void expire(core::time_point now);

    /// Returns the number of flows, without redirect entries.
    std::size_t open_flows() const { return open_flows_; }

    /// Returns the number of open flows that neither side has closed.
    std::size_t active_flows() const { return active_flows_; }

    /// Records that the upstream has closed or reset the flow.
    void close(const flow_key& flow, core::time_point now);

    /// Returns the number of flows and redirect entries.
    std::size_t size() const { return index_.size(); }

    /// Returns how many embryonic entries were evicted.
    std::uint64_t evictions() const { return evictions_; }

    /// Returns the version at which the oldest open flow began, or nothing when no flow is open.
    std::optional<core::version> watermark() const;

private:
    /// Entries of a stage have the same idle limit and are linked in the order of their last packets, oldest first.
    enum class flow_stage : std::uint8_t {
        embryonic,
        udp,
        tcp,
        closing,
    };

    static constexpr std::size_t stage_count = 4;
    static constexpr std::uint32_t none = 0xffff'ffff;

    struct node {
        flow_key flow;
        flow_entry entry;
        core::time_point last_packet;
        std::uint32_t previous = none;
        std::uint32_t next = none;
        flow_stage stage = flow_stage::embryonic;
    };

    struct list {
        std::uint32_t first = none;
        std::uint32_t last = none;
    };

    static bool is_active(const node& it) { return !it.entry.redirect && it.stage != flow_stage::closing; }
    static flow_stage next_stage(flow_stage current, packet_kind kind);
    core::time_point::duration idle_limit(flow_stage stage) const;
    list& list_of(flow_stage stage) { return lists_[static_cast<std::size_t>(stage)]; }
    void link(std::uint32_t i, flow_stage stage, core::time_point now);
    void unlink(std::uint32_t i);
    void remove(std::uint32_t i);
    void count_open_flow(const flow_entry& entry);
    void uncount_open_flow(const flow_entry& entry);

    flow_limits limits_;
    std::unordered_map<flow_key, std::uint32_t> index_;
    std::vector<node> nodes_;
    std::vector<std::uint32_t> free_;
    std::array<list, stage_count> lists_{};
    std::size_t open_flows_ = 0;
    std::size_t active_flows_ = 0;
    std::uint64_t evictions_ = 0;
    /// Number of open flows that began at each version.
    std::map<core::version, std::size_t> open_flows_by_version_;
};

} // namespace ibisdyke::routing
