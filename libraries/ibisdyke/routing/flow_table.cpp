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
    if (packet.kind == packet_kind::syn && nodes_[i].in == stage::closing) {
        remove(i);
        return nullptr;
    }
    const auto next = next_stage(nodes_[i].in, packet.kind);
    unlink(i);
    link(i, next, now);
    return &nodes_[i].entry;
}

bool flow_table::insert(const packet_info& packet, const flow_entry& entry, core::time_point now)
{
    erase(packet.flow);
    if (index_.size() >= limits_.max_entries) {
        const auto oldest = list_of(stage::embryonic).first;
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
    // A segment or FIN shows that the flow was open before.
    const auto first = packet.kind == packet_kind::segment ? stage::tcp
        : packet.kind == packet_kind::closing              ? stage::closing
                                                           : stage::embryonic;
    link(i, first, now);
    count(entry);
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
    link(it->second, stage::closing, now);
}

void flow_table::clear()
{
    index_.clear();
    nodes_.clear();
    free_.clear();
    lists_ = {};
    open_flows_ = 0;
    active_flows_ = 0;
    began_.clear();
}

void flow_table::expire(core::time_point now)
{
    for (std::size_t i = 0; i < stages; ++i) {
        const auto limit = idle_limit(static_cast<stage>(i));
        while (lists_[i].first != none && now - nodes_[lists_[i].first].last_packet >= limit)
            remove(lists_[i].first);
    }
}

std::optional<core::version> flow_table::watermark() const
{
    if (began_.empty())
        return std::nullopt;
    return began_.begin()->first;
}

flow_table::stage flow_table::next_stage(stage present, packet_kind kind)
{
    switch (kind) {
    case packet_kind::datagram:
        return stage::udp;
    case packet_kind::syn:
        // A retransmitted SYN shows no more than the first one.
        return present;
    case packet_kind::segment:
        return present == stage::closing ? stage::closing : stage::tcp;
    case packet_kind::closing:
        break;
    }
    return stage::closing;
}

core::time_point::duration flow_table::idle_limit(stage it) const
{
    switch (it) {
    case stage::embryonic:
        return limits_.embryonic_idle;
    case stage::udp:
        return limits_.udp_idle;
    case stage::tcp:
        return limits_.tcp_idle;
    case stage::closing:
        break;
    }
    return limits_.closing_idle;
}

void flow_table::link(std::uint32_t i, stage into, core::time_point now)
{
    auto& target = list_of(into);
    auto& it = nodes_[i];
    it.in = into;
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
    auto& from = list_of(it.in);
    if (it.previous == none)
        from.first = it.next;
    else
        nodes_[it.previous].next = it.next;
    if (it.next == none)
        from.last = it.previous;
    else
        nodes_[it.next].previous = it.previous;
}

void flow_table::remove(std::uint32_t i)
{
    unlink(i);
    uncount(nodes_[i].entry);
    index_.erase(nodes_[i].flow);
    free_.push_back(i);
}

void flow_table::count(const flow_entry& entry)
{
    if (entry.redirect)
        return;
    ++open_flows_;
    ++began_[entry.began];
}

void flow_table::uncount(const flow_entry& entry)
{
    if (entry.redirect)
        return;
    --open_flows_;
    const auto it = began_.find(entry.began);
    if (--it->second == 0)
        began_.erase(it);
}

} // namespace ibisdyke::routing
