#include "ibisdyke/routing/reordered_chain.h"

#include <algorithm>
#include <cstddef>

namespace ibisdyke::routing {

std::optional<reordered_chain> reorder_by_reachability(const chain& original, const unreachable_set& unreachable)
{
    const auto is_reachable = [&unreachable](const chain_member& it) { return !unreachable.contains(it.id); };
    const auto& from = original.members;
    const auto candidates_end = from.begin() + static_cast<std::ptrdiff_t>(original.candidates);
    const auto reachable_candidates = std::count_if(from.begin(), candidates_end, is_reachable);
    if (reachable_candidates == 0 || std::all_of(from.begin(), from.end(), is_reachable))
        return std::nullopt;
    reordered_chain result{original, 0};
    auto& to = result.members.members;
    const auto reachable_end = std::stable_partition(to.begin(), to.end(), is_reachable);
    result.members.candidates = static_cast<std::size_t>(reachable_candidates);
    for (auto it = reachable_end; it != to.end(); ++it)
        result.unreachable |= 1U << static_cast<std::uint32_t>(it - to.begin());
    return result;
}

} // namespace ibisdyke::routing
