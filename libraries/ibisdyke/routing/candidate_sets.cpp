#include "ibisdyke/routing/candidate_sets.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace ibisdyke::routing {

namespace {

using detail::past_set;

bool contains(const std::vector<core::version_interval>& history, const core::version& at)
{
    return std::any_of(
        history.begin(), history.end(), [&at](const auto& it) { return it.from <= at && (!it.to || at < *it.to); });
}

std::vector<core::version> boundaries_of(const std::vector<member>& members)
{
    std::vector<core::version> result;
    for (const auto& it : members) {
        for (const auto& interval : it.history) {
            result.push_back(interval.from);
            if (interval.to)
                result.push_back(*interval.to);
        }
    }
    std::sort(result.rbegin(), result.rend());
    result.erase(std::unique(result.begin(), result.end()), result.end());
    return result;
}

/// Returns the different sets at versions in the past, latest first. A set is in force from one boundary of the
/// members' histories to the next.
std::vector<past_set> past_sets(const std::vector<member>& members)
{
    std::vector<past_set> result;
    std::optional<core::version> end;
    for (const auto& at : boundaries_of(members)) {
        past_set next;
        for (const auto& it : members) {
            const bool eligible = contains(it.history, at);
            next.eligible.push_back(eligible);
            next.certain.push_back(eligible && it.exact_since <= at);
            next.holding.push_back(eligible && it.reachable && (!end || it.flow_watermark < *end));
        }
        end = at;
        if (std::find(next.holding.begin(), next.holding.end(), true) == next.holding.end())
            continue;
        if (std::find(result.begin(), result.end(), next) == result.end())
            result.push_back(std::move(next));
    }
    return result;
}

} // namespace

candidate_sets::candidate_sets(const std::vector<member>& members)
    : past_(past_sets(members))
{
    for (const auto& it : members)
        present_.push_back(it.eligible && it.reachable);
}

} // namespace ibisdyke::routing
