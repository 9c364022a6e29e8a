#include "ibisdyke/routing/candidate_sets.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace ibisdyke::routing {

namespace {

using detail::past_eligibility;

bool is_eligible_at(const std::vector<core::version_interval>& history, const core::version& at)
{
    return std::any_of(
        history.begin(), history.end(), [&at](const auto& it) { return it.from <= at && (!it.to || at < *it.to); });
}

/// Returns the versions at which the eligibility of any member begins or ends, latest first and without duplicates.
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

/// Returns the distinct states of the members at past versions, latest first, without the states from which no member
/// may still hold flows. The state changes only at the boundaries of the members' histories.
std::vector<past_eligibility> collect_past_eligibility(const std::vector<member>& members)
{
    std::vector<past_eligibility> result;
    std::optional<core::version> end;
    for (const auto& at : boundaries_of(members)) {
        past_eligibility state;
        for (const auto& it : members) {
            const bool eligible = is_eligible_at(it.history, at);
            state.eligible.push_back(eligible);
            state.certain.push_back(eligible && it.exact_since <= at);
            state.may_hold_flows.push_back(eligible && it.reachable && (!end || it.flow_watermark < *end));
        }
        end = at;
        if (std::find(state.may_hold_flows.begin(), state.may_hold_flows.end(), true) == state.may_hold_flows.end())
            continue;
        if (std::find(result.begin(), result.end(), state) == result.end())
            result.push_back(std::move(state));
    }
    return result;
}

} // namespace

candidate_sets::candidate_sets(const std::vector<member>& members)
    : past_(collect_past_eligibility(members))
{
    for (const auto& it : members)
        available_.push_back(it.eligible && it.reachable);
}

} // namespace ibisdyke::routing
