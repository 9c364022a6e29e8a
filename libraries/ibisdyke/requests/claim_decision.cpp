#include "ibisdyke/requests/claim_decision.h"

#include <algorithm>

namespace ibisdyke::requests {

namespace {

/// The smallest service in which the answer of one member may be missing. With two members, the remaining one would
/// decide alone.
constexpr std::size_t min_members_to_skip_one = 3;

/// Returns how many members that have lost neither records nor claims a first send needs, so that at least one of them
/// knows of any run of the key. With three or more members, all except one know of a run, so two are needed. With two
/// members both know of it, so one is needed. A single member needs none: after a restart, it can only rely on the
/// caller's statement that this is the first send.
std::size_t required_intact_members(std::size_t members)
{
    return std::min<std::size_t>(members - 1, 2);
}

/// Whether the claimant itself has reported that it holds no record of the key.
bool has_denied_record(const claim_evidence& seen, const agent_instance& claimant)
{
    return claimant == seen.self
        || std::any_of(seen.grants.begin(), seen.grants.end(), [&](const auto& it) { return it.peer == claimant; });
}

/// Whether a process has claimed the key and has not reported that it holds no record, so that it may have run the key.
bool has_unresolved_claim(const claim_evidence& seen)
{
    const auto is_unresolved = [&](const agent_instance& it) { return !has_denied_record(seen, it); };
    const auto knows_unresolved_claim = [&](const claim_grant& it) {
        return std::any_of(it.claimants.begin(), it.claimants.end(), is_unresolved);
    };
    return std::any_of(seen.own_claimants.begin(), seen.own_claimants.end(), is_unresolved)
        || std::any_of(seen.grants.begin(), seen.grants.end(), knows_unresolved_claim);
}

/// Counts the members, this one included, that have lost no record of the key.
std::size_t count_with_records(const claim_evidence& seen)
{
    const auto n =
        std::count_if(seen.grants.begin(), seen.grants.end(), [](const auto& it) { return !it.records_lost; });
    return static_cast<std::size_t>(n) + (seen.own_records_lost ? 0 : 1);
}

/// Counts the members, this one included, that have lost neither a record nor a claim of the key. This member's own
/// claims need no check here: `order` is `first` and `tolerates_missing_member` is set only if this member has lost no
/// claim.
std::size_t count_intact(const claim_evidence& seen)
{
    const auto n = std::count_if(
        seen.grants.begin(), seen.grants.end(), [](const auto& it) { return !it.records_lost && !it.claims_lost; });
    return static_cast<std::size_t>(n) + (seen.own_records_lost ? 0 : 1);
}

} // namespace

claim_decision decide_claim(const claim_evidence& seen)
{
    const auto asked = 1 + seen.grants.size() + seen.unanswered;
    const auto members = asked + seen.departed;
    const auto intact = count_intact(seen);
    const auto unresolved = has_unresolved_claim(seen);
    if (seen.order == send_order::first) {
        const auto safe = !unresolved && intact >= required_intact_members(members);
        return safe ? claim_decision::run : claim_decision::may_have_run;
    }
    if (!unresolved && count_with_records(seen) == asked && !seen.holder_departed)
        return claim_decision::run;
    if (!seen.tolerates_missing_member)
        return claim_decision::may_have_run;
    if (seen.scope == claim_scope::candidates)
        return claim_decision::ask_all;
    const auto enough = members >= min_members_to_skip_one && intact + 1 >= members;
    return !unresolved && enough ? claim_decision::run : claim_decision::may_have_run;
}

} // namespace ibisdyke::requests
