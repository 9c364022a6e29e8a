#pragma once

#include "ibisdyke/routing/chain.h"
#include "ibisdyke/routing/member.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ibisdyke::routing {

namespace detail {

/// For each member, whether it could take new flows.
using eligible_set = std::vector<bool>;

/// Members that could take new flows in a past span of versions, and of these the ones that may still hold such flows.
struct past_set {
    eligible_set eligible;
    /// Those whose eligibility is exact. The others take no place among the candidates from a lower-ranked member.
    eligible_set certain;
    eligible_set holding;

    friend bool operator==(const past_set&, const past_set&) = default;
};

} // namespace detail

/// Which members of a service can take new flows, and which could at earlier versions and may still hold them. Members
/// are named by their index. Immutable.
class candidate_sets {
public:
    explicit candidate_sets(const std::vector<member>& members);

    /// Calls `use` with the members that take new flows of a bucket, in the order of its ranking.
    template <typename Function>
    void for_each_candidate(const std::vector<std::uint32_t>& ranking, Function use) const
    {
        for_each_candidate(ranking, present_, present_, use);
    }

    /// Calls `use` with the members that may hold flows of a bucket that began earlier, latest versions first. A member
    /// may come more than once.
    template <typename Function>
    void for_each_holder(const std::vector<std::uint32_t>& ranking, Function use) const
    {
        for (const auto& set : past_) {
            for_each_candidate(ranking, set.eligible, set.certain, [&](std::uint32_t it) {
                if (set.holding[it])
                    use(it);
            });
        }
    }

private:
    /// Calls `use` for the members that take the bucket's new flows when `eligible` is in force, and for those that may
    /// have done so.
    template <typename Function>
    static void for_each_candidate(const std::vector<std::uint32_t>& ranking, const detail::eligible_set& eligible,
        const detail::eligible_set& certain, Function use)
    {
        std::size_t n = 0;
        for (auto it = ranking.begin(); it != ranking.end() && n < max_candidates; ++it) {
            if (!eligible[*it])
                continue;
            use(*it);
            if (certain[*it])
                ++n;
        }
    }

    detail::eligible_set present_;
    std::vector<detail::past_set> past_;
};

} // namespace ibisdyke::routing
