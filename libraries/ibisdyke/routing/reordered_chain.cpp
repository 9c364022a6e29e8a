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

std::optional<reordered_chain> reorder_after_unanswered_syns(
    const chain& original, const unreachable_set& unreachable, std::uint32_t unanswered_syns)
{
    auto suspected = unreachable;
    auto result = reorder_by_reachability(original, suspected);
    for (std::uint32_t n = 0; n < unanswered_syns; ++n) {
        const auto& known = result ? result->members : original;
        if (known.candidates < 2)
            break;
        suspected.insert(known.members.front().id);
        result = reorder_by_reachability(original, suspected);
    }
    return result;
}

} // namespace ibisdyke::routing
