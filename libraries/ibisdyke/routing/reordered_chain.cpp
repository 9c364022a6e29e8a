#include "ibisdyke/routing/reordered_chain.h"

#include <algorithm>
#include <cstddef>

namespace ibisdyke::routing {

std::optional<reordered_chain> reorder_by_reachability(const chain& members, const unreachable_set& unreachable)
{
    const auto in_reach = [&unreachable](const chain_member& it) { return !unreachable.contains(it.id); };
    const auto& from = members.members;
    const auto candidates_end = from.begin() + static_cast<std::ptrdiff_t>(members.candidates);
    const auto candidates = std::count_if(from.begin(), candidates_end, in_reach);
    if (candidates == 0 || std::all_of(from.begin(), from.end(), in_reach))
        return std::nullopt;
    reordered_chain result{members, 0};
    auto& to = result.members.members;
    const auto reached_end = std::stable_partition(to.begin(), to.end(), in_reach);
    result.members.candidates = static_cast<std::size_t>(candidates);
    for (auto it = reached_end; it != to.end(); ++it)
        result.unreachable |= 1U << static_cast<std::uint32_t>(it - to.begin());
    return result;
}

} // namespace ibisdyke::routing
