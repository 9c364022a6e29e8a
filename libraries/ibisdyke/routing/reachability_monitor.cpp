#include "ibisdyke/routing/reachability_monitor.h"

#include <algorithm>

namespace ibisdyke::routing {

namespace {

/// An agent that has answered within this time is not probed. Under overload, callers retransmit SYNs all the time
/// although the agents are reachable.
constexpr core::milliseconds answer_validity{500};

/// Time between the first probes of an agent. Round trips take a few milliseconds. An agent that takes longer than this
/// to answer each probe is too slow for a waiting caller.
constexpr core::milliseconds probe_interval{80};

/// The loss of one or two datagrams must not move flows.
constexpr std::uint32_t probes_before_unreachable = 3;

/// Time between probes of an unreachable agent. Limits the delay until an agent that has become reachable gets flows
/// again.
constexpr core::milliseconds recheck_interval{250};

/// start_probing() adds no agent while this many are probed. Limits the probes to 256 a second while many agents are
/// unreachable. Agents that have announced their stop are probed regardless of this limit.
constexpr std::size_t max_probed_agents = 64;

/// Maximum number of recorded answers. Exceeds the number of candidates of the chains used within answer_validity.
constexpr std::size_t max_recorded_answers = 4096;

bool is_unreachable(std::uint32_t probes_sent)
{
    return probes_sent > probes_before_unreachable;
}

} // namespace

void reachability_monitor::start_probing(const std::vector<chain_member>& members, core::time_point now)
{
    for (const auto& it : members) {
        if (probed_agents_.size() >= max_probed_agents)
            return;
        const auto answered = last_answers_.find(it.id);
        if (answered != last_answers_.end() && now - answered->second < answer_validity)
            continue;
        probed_agents_.try_emplace(it.id, probed_agent{it.packet_endpoint, 0, now});
    }
}

void reachability_monitor::on_answer(const core::upstream_id& id, core::time_point now)
{
    probed_agents_.erase(id);
    if (last_answers_.size() >= max_recorded_answers)
        last_answers_.clear();
    last_answers_[id] = now;
}

void reachability_monitor::on_stopping(const chain_member& member, core::time_point now)
{
    probed_agents_[member.id] = {member.packet_endpoint, probes_before_unreachable + 1, now + recheck_interval};
}

void reachability_monitor::remove_missing(const routing_table& table)
{
    std::erase_if(probed_agents_, [&table](const auto& it) {
        const auto* const found = table.find_member(it.first);
        return found == nullptr || !found->reachable;
    });
}

std::vector<core::endpoint> reachability_monitor::take_due_probes(core::time_point now)
{
    std::vector<core::endpoint> result;
    for (auto& [id, it] : probed_agents_) {
        if (now < it.next_probe)
            continue;
        result.push_back(it.endpoint);
        // The count includes the probe sent now, which may still be answered. The agent is therefore unreachable only
        // when the count exceeds probes_before_unreachable.
        it.probes_sent = std::min(it.probes_sent + 1, probes_before_unreachable + 1);
        it.next_probe = now + (is_unreachable(it.probes_sent) ? recheck_interval : probe_interval);
    }
    return result;
}

std::optional<core::time_point> reachability_monitor::next_probe_at() const
{
    std::optional<core::time_point> result;
    for (const auto& [id, it] : probed_agents_)
        result = result ? std::min(*result, it.next_probe) : it.next_probe;
    return result;
}

unreachable_set reachability_monitor::unreachable() const
{
    unreachable_set result;
    for (const auto& [id, it] : probed_agents_) {
        if (is_unreachable(it.probes_sent))
            result.insert(id);
    }
    return result;
}

} // namespace ibisdyke::routing
