#include "ibisdyke/routing/flow_table.h"

namespace ibisdyke::routing {

flow_table::flow_table(const flow_limits& limits)
    : limits_(limits)
{
}

const flow_entry* flow_table::touch(const packet_info& packet, core::time_point now)
{
    const auto it = index_.find(packet.flow);
    if (it == index_.end())
        return nullptr;
    const auto i = it->second;
    if (packet.kind == packet_kind::syn && nodes_[i].stage == flow_stage::closing) {
        remove(i);
        return nullptr;
    }
    const auto next = next_stage(nodes_[i].stage, packet.kind);
    unlink(i);
    link(i, next, now);
    return &nodes_[i].entry;
}

bool flow_table::insert(const packet_info& packet, const flow_entry& entry, core::time_point now)
{
    erase(packet.flow);
    if (index_.size() >= limits_.max_entries) {
        const auto oldest = list_of(flow_stage::embryonic).first;
        if (oldest == none)
            return false;
        remove(oldest);
        ++evictions_;
    }
    auto i = static_cast<std::uint32_t>(nodes_.size());
    if (free_.empty()) {
        nodes_.emplace_back();
    } else {
        i = free_.back();
        free_.pop_back();
    }
    nodes_[i].flow = packet.flow;
    nodes_[i].entry = entry;
    index_.emplace(packet.flow, i);
    // A segment, FIN or RST belongs to a flow that was open before.
    const auto first = packet.kind == packet_kind::segment ? flow_stage::tcp
        : packet.kind == packet_kind::closing              ? flow_stage::closing
                                                           : flow_stage::embryonic;
    link(i, first, now);
    count_open_flow(entry);
    return true;
}

void flow_table::erase(const flow_key& flow)
{
    const auto it = index_.find(flow);
    if (it != index_.end())
        remove(it->second);
}

void flow_table::close(const flow_key& flow, core::time_point now)
{
    const auto it = index_.find(flow);
    if (it == index_.end())
        return;
    unlink(it->second);
    link(it->second, flow_stage::closing, now);
}

void flow_table::clear()
{
    index_.clear();
    nodes_.clear();
    free_.clear();
    lists_ = {};
    open_flows_ = 0;
    active_flows_ = 0;
    open_flows_by_version_.clear();
}

void flow_table::expire(core::time_point now)
{
    for (std::size_t i = 0; i < stage_count; ++i) {
        const auto limit = idle_limit(static_cast<flow_stage>(i));
        while (lists_[i].first != none && now - nodes_[lists_[i].first].last_packet >= limit)
            remove(lists_[i].first);
    }
}

std::optional<core::version> flow_table::watermark() const
{
    if (open_flows_by_version_.empty())
        return std::nullopt;
    return open_flows_by_version_.begin()->first;
}

flow_table::flow_stage flow_table::next_stage(flow_stage current, packet_kind kind)
{
    switch (kind) {
    case packet_kind::datagram:
        return flow_stage::udp;
    case packet_kind::syn:
        // A retransmitted SYN does not show that the connection is established.
        return current;
    case packet_kind::segment:
        return current == flow_stage::closing ? flow_stage::closing : flow_stage::tcp;
    case packet_kind::closing:
        break;
    }
    return flow_stage::closing;
}

core::time_point::duration flow_table::idle_limit(flow_stage stage) const
{
    switch (stage) {
    case flow_stage::embryonic:
        return limits_.embryonic_idle;
    case flow_stage::udp:
        return limits_.udp_idle;
    case flow_stage::tcp:
        return limits_.tcp_idle;
    case flow_stage::closing:
        break;
    }
    return limits_.closing_idle;
}

void flow_table::link(std::uint32_t i, flow_stage stage, core::time_point now)
{
    auto& target = list_of(stage);
    auto& it = nodes_[i];
    it.stage = stage;
    it.last_packet = now;
    it.previous = target.last;
    it.next = none;
    if (target.last == none)
        target.first = i;
    else
        nodes_[target.last].next = i;
    target.last = i;
    if (is_active(it))
        ++active_flows_;
}

void flow_table::unlink(std::uint32_t i)
{
    const auto& it = nodes_[i];
    if (is_active(it))
        --active_flows_;
    auto& source = list_of(it.stage);
    if (it.previous == none)
        source.first = it.next;
    else
        nodes_[it.previous].next = it.next;
    if (it.next == none)
        source.last = it.previous;
    else
        nodes_[it.next].previous = it.previous;
}

void flow_table::remove(std::uint32_t i)
{
    unlink(i);
    uncount_open_flow(nodes_[i].entry);
    index_.erase(nodes_[i].flow);
    free_.push_back(i);
}

void flow_table::count_open_flow(const flow_entry& entry)
{
    if (entry.redirect)
        return;
    ++open_flows_;
    ++open_flows_by_version_[entry.began];
}

void flow_table::uncount_open_flow(const flow_entry& entry)
{
    if (entry.redirect)
        return;
    --open_flows_;
    const auto it = open_flows_by_version_.find(entry.began);
    if (--it->second == 0)
        open_flows_by_version_.erase(it);
}

} // namespace ibisdyke::routing
