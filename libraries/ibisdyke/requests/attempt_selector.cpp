#include "ibisdyke/requests/attempt_selector.h"

#include <algorithm>
#include <limits>

namespace ibisdyke::requests {

namespace {

std::size_t candidate_count(const selection& from)
{
    return std::min(from.members.candidates, from.members.members.size());
}

bool is_tried(const selection& from, std::size_t index)
{
    const auto& id = from.members.members[index].id;
    return std::find(from.tried.begin(), from.tried.end(), id) != from.tried.end();
}

} // namespace

placement choose_placement(send_order order, std::optional<core::wall_time> first_sent, core::wall_time now)
{
    const auto is_new = order == send_order::first || (first_sent && now - *first_sent <= new_key_age);
    return is_new ? placement::any_candidate : placement::owner_first;
}

std::optional<std::size_t> chain_order_selector::select(const selection& from)
{
    std::optional<std::size_t> best;
    std::uint32_t least_open = 0;
    for (std::size_t i = 0; i < candidate_count(from); ++i) {
        if (is_tried(from, i))
            continue;
        if (from.allowed == placement::owner_first)
            return i;
        const auto open = count_open(from.members.members[i].id);
        if (best && open >= least_open)
            continue;
        best = i;
        least_open = open;
    }
    return best;
}

std::size_t chain_order_selector::choose_chain(const std::vector<const routing::chain*>& options) const
{
    std::size_t best = 0;
    for (std::size_t i = 1; i < options.size(); ++i) {
        if (count_open_at_owner(*options[i]) < count_open_at_owner(*options[best]))
            best = i;
    }
    return best;
}

void chain_order_selector::on_started(const core::upstream_id& id)
{
    ++open_attempts_[id];
}

void chain_order_selector::on_ended(const core::upstream_id& id)
{
    const auto it = open_attempts_.find(id);
    if (it == open_attempts_.end())
        return;
    // Upstream ids are never reused, so the entries of departed upstreams would accumulate.
    if (--it->second == 0)
        open_attempts_.erase(it);
}

std::uint32_t chain_order_selector::count_open(const core::upstream_id& id) const
{
    const auto found = open_attempts_.find(id);
    return found == open_attempts_.end() ? 0 : found->second;
}

std::uint32_t chain_order_selector::count_open_at_owner(const routing::chain& chain) const
{
    if (chain.candidates == 0 || chain.members.empty())
        return std::numeric_limits<std::uint32_t>::max();
    return count_open(chain.members.front().id);
}

std::optional<std::size_t> round_robin_selector::select(const selection& from)
{
    const auto n = candidate_count(from);
    for (std::size_t i = 0; i < n; ++i) {
        const auto index = (next_ + i) % n;
        if (is_tried(from, index))
            continue;
        next_ = index + 1;
        return index;
    }
    return std::nullopt;
}

std::optional<std::size_t> least_reported_load_selector::select(const selection& from)
{
    std::optional<std::size_t> best;
    std::uint32_t least_load = 0;
    for (std::size_t i = 0; i < candidate_count(from); ++i) {
        const auto found = loads_.find(from.members.members[i].id);
        const auto load = found == loads_.end() ? 0 : found->second;
        if (is_tried(from, i) || (best && load >= least_load))
            continue;
        best = i;
        least_load = load;
    }
    return best;
}

void least_reported_load_selector::on_load_report(const core::upstream_id& id, std::uint32_t load)
{
    loads_.insert_or_assign(id, load);
}

} // namespace ibisdyke::requests
