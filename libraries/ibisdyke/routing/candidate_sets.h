#pragma once

#include "ibisdyke/routing/chain.h"
#include "ibisdyke/routing/member.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ibisdyke::routing {

namespace detail {

/// One flag for each member of a service, by the member's index.
using member_flags = std::vector<bool>;

/// The state of the members within one range of past versions.
struct past_eligibility {
    /// Members that could take new flows, according to their histories.
    member_flags eligible;
    /// The eligible members whose history is exact for these versions. Only these count towards max_candidates: a
    /// member that may not have been eligible must not displace a lower-ranked candidate.
    member_flags certain;
    /// The eligible members that may still hold flows that began at these versions.
    member_flags may_hold_flows;

    friend bool operator==(const past_eligibility&, const past_eligibility&) = default;
};

} // namespace detail

/// Selects the members of a service that take new flows of a bucket, and the members that took new flows at earlier
/// versions and may still hold them. Members are identified by their index. Immutable.
class candidate_sets {
public:
    explicit candidate_sets(const std::vector<member>& members);

    /// Calls `visit` with each member that takes new flows of a bucket, in the order of the bucket's ranking.
    template <typename Function>
    void for_each_candidate(const std::vector<std::uint32_t>& ranking, Function visit) const
    {
        for_each_candidate(ranking, available_, available_, visit);
    }

    /// Calls `visit` with each member that may hold flows of a bucket that began at an earlier version, latest versions
    /// first. May visit a member more than once.
    template <typename Function>
    void for_each_holder(const std::vector<std::uint32_t>& ranking, Function visit) const
    {
        for (const auto& past : past_) {
            for_each_candidate(ranking, past.eligible, past.certain, [&](std::uint32_t it) {
                if (past.may_hold_flows[it])
                    visit(it);
            });
        }
    }

private:
    /// Calls `visit` with the eligible members in rank order until max_candidates of them are certain. Eligible members
    /// that are not certain are visited, too, because they may have taken flows.
    template <typename Function>
    static void for_each_candidate(const std::vector<std::uint32_t>& ranking, const detail::member_flags& eligible,
        const detail::member_flags& certain, Function visit)
    {
        std::size_t certain_count = 0;
        for (auto it = ranking.begin(); it != ranking.end() && certain_count < max_candidates; ++it) {
            if (!eligible[*it])
                continue;
            visit(*it);
            if (certain[*it])
                ++certain_count;
        }
    }

    /// Members that are eligible and reachable at the current version.
    detail::member_flags available_;
    /// Distinct states at past versions, latest first.
    std::vector<detail::past_eligibility> past_;
};

} // namespace ibisdyke::routing
