#include "ibisdyke/routing/reachability_monitor.h"

#include <algorithm>

namespace ibisdyke::routing {

namespace {

/// An agent that has answered within this time is not probed again: under overload, SYNs come again all the time.
constexpr core::milliseconds answer_validity{500};

/// Round trips take a few milliseconds, and an agent that needs longer than this for each of the probes is of no use to
/// a caller that waits.
constexpr core::milliseconds probe_interval{80};

/// One lost datagram, or two, must not move flows.
constexpr std::uint32_t probes_before_unreachable = 3;

/// How soon an agent that is in reach again gets flows again.
constexpr core::milliseconds recheck_interval{250};

/// Bounds the probes while many agents are out of reach: 256 a second.
constexpr std::size_t max_watched = 64;

/// Bounds the record of answers; more than the candidates of the chains in use in answer_validity.
constexpr std::size_t max_answers = 4096;

bool is_unreachable(std::uint32_t probes_sent)
{
    return probes_sent > probes_before_unreachable;
}

} // namespace

void reachability_monitor::suspect(const std::vector<chain_member>& members, core::time_point now)
{
    for (const auto& it : members) {
        if (watched_.size() >= max_watched)
            return;
        const auto answered = answered_.find(it.id);
        if (answered != answered_.end() && now - answered->second < answer_validity)
            continue;
        watched_.try_emplace(it.id, watched{it.packet_endpoint, 0, now});
    }
}

void reachability_monitor::note_answer(const core::upstream_id& id, core::time_point now)
{
    watched_.erase(id);
    if (answered_.size() >= max_answers)
        answered_.clear();
    answered_[id] = now;
}

void reachability_monitor::note_stop(const chain_member& member, core::time_point now)
{
    watched_[member.id] = {member.packet_endpoint, probes_before_unreachable + 1, now + recheck_interval};
}

void reachability_monitor::keep_only(const routing_table& table)
{
    std::erase_if(watched_, [&table](const auto& it) {
        const auto* const found = table.find_member(it.first);
        return found == nullptr || !found->reachable;
    });
}

std::vector<core::endpoint> reachability_monitor::take_due(core::time_point now)
{
    std::vector<core::endpoint> result;
    for (auto& [id, it] : watched_) {
        if (now < it.next_probe)
            continue;
        result.push_back(it.endpoint);
        // The probe that is sent now may still be answered.
        it.probes_sent = std::min(it.probes_sent + 1, probes_before_unreachable + 1);
        it.next_probe = now + (is_unreachable(it.probes_sent) ? recheck_interval : probe_interval);
    }
    return result;
}

std::optional<core::time_point> reachability_monitor::next_due() const
{
    std::optional<core::time_point> result;
    for (const auto& [id, it] : watched_)
        result = result ? std::min(*result, it.next_probe) : it.next_probe;
    return result;
}

unreachable_set reachability_monitor::unreachable() const
{
    unreachable_set result;
    for (const auto& [id, it] : watched_) {
        if (is_unreachable(it.probes_sent))
            result.insert(id);
    }
    return result;
}

} // namespace ibisdyke::routing
