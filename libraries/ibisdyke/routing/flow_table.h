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

/// Bounds of a flow table.
struct flow_limits {
    /// Flows and redirect entries together.
    std::size_t max_entries = 262'144;
    /// After the first packet of a flow. Longer than the retransmissions of a SYN.
    std::chrono::seconds embryonic_idle{60};
    std::chrono::seconds udp_idle{300};
    core::milliseconds tcp_idle = std::chrono::hours(2);
    /// After a FIN or RST. Packets in the other direction keep the flow open through the caller's acknowledgements.
    std::chrono::seconds closing_idle{60};

    friend bool operator==(const flow_limits&, const flow_limits&) = default;
};

/// What an agent knows of a flow.
struct flow_entry {
    /// Set when the flow was passed along to another member; it is open there.
    std::optional<header_member> redirect;
    /// The version of the system state at which the flow began.
    core::version began;

    friend bool operator==(const flow_entry&, const flow_entry&) = default;
};

/// The flows of one upstream. Bounded; an entry lives as long as its packets keep arriving. Used by one thread.
class flow_table {
public:
    explicit flow_table(const flow_limits& limits);

    /// Records a packet of the flow and returns its entry, or null when the flow is unknown. The entry is valid until
    /// the next call that changes the table. A SYN after a FIN or RST begins a new connection between the same ports:
    /// it removes the old entry and counts as unknown, because the upstream may not take new flows any more.
    const flow_entry* touch(const packet_info& packet, core::time_point now);

    /// Adds an entry for the packet's flow, or replaces the one it has. A full table evicts its oldest embryonic entry;
    /// returns false, adding nothing, when it has none, so that a flood of new flows never evicts an established one.
    bool insert(const packet_info& packet, const flow_entry& entry, core::time_point now);

    void erase(const flow_key& flow);

    void clear();

    /// Removes entries that have been idle for too long.
    void expire(core::time_point now);

    /// Returns the number of flows, without redirect entries.
    std::size_t open_flows() const { return open_flows_; }

    /// Returns the number of flows without those that their callers have closed.
    std::size_t active_flows() const { return active_flows_; }

    /// The upstream has closed the flow or given it up.
    void close(const flow_key& flow, core::time_point now);

    /// Returns the number of flows and redirect entries.
    std::size_t size() const { return index_.size(); }

    /// Returns how many embryonic entries were evicted.
    std::uint64_t evictions() const { return evictions_; }

    /// Returns the version at which the oldest open flow began, or nothing when no flow is open.
    std::optional<core::version> watermark() const;

private:
    /// Entries of one stage have the same idle limit and are linked from the longest idle to the latest.
    enum class stage : std::uint8_t {
        embryonic,
        udp,
        tcp,
        closing,
    };

    static constexpr std::size_t stages = 4;
    static constexpr std::uint32_t none = 0xffff'ffff;

    struct node {
        flow_key flow;
        flow_entry entry;
        core::time_point last_packet;
        std::uint32_t previous = none;
        std::uint32_t next = none;
        stage in = stage::embryonic;
    };

    struct list {
        std::uint32_t first = none;
        std::uint32_t last = none;
    };

    static bool is_active(const node& it) { return !it.entry.redirect && it.in != stage::closing; }
    static stage next_stage(stage present, packet_kind kind);
    core::time_point::duration idle_limit(stage it) const;
    list& list_of(stage it) { return lists_[static_cast<std::size_t>(it)]; }
    void link(std::uint32_t i, stage into, core::time_point now);
    void unlink(std::uint32_t i);
    void remove(std::uint32_t i);
    void count(const flow_entry& entry);
    void uncount(const flow_entry& entry);

    flow_limits limits_;
    std::unordered_map<flow_key, std::uint32_t> index_;
    std::vector<node> nodes_;
    std::vector<std::uint32_t> free_;
    std::array<list, stages> lists_{};
    std::size_t open_flows_ = 0;
    std::size_t active_flows_ = 0;
    std::uint64_t evictions_ = 0;
    /// How many open flows began at each version.
    std::map<core::version, std::size_t> began_;
};

} // namespace ibisdyke::routing
