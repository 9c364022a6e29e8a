#include "ibisdyke/requests/claim_decision.h"

#include <algorithm>

namespace ibisdyke::requests {

namespace {

/// With fewer members, all but one can be a single agent.
constexpr std::size_t least_members = 3;

/// How many members must have lost nothing so that one of them knows of any run of the key. All but one know of a run,
/// both of two do, and a single member that has restarted can only rely on the caller's word.
std::size_t count_needed_witnesses(std::size_t members)
{
    return std::min<std::size_t>(members - 1, 2);
}

/// Whether that process has itself said that it holds no record.
bool is_settled(const claim_evidence& seen, const agent_instance& claimant)
{
    return claimant == seen.self
        || std::any_of(seen.grants.begin(), seen.grants.end(), [&](const auto& it) { return it.peer == claimant; });
}

bool has_open_claim(const claim_evidence& seen)
{
    const auto is_open = [&](const agent_instance& it) { return !is_settled(seen, it); };
    const auto knows_one = [&](const claim_grant& it) {
        return std::any_of(it.claimants.begin(), it.claimants.end(), is_open);
    };
    return std::any_of(seen.own_claimants.begin(), seen.own_claimants.end(), is_open)
        || std::any_of(seen.grants.begin(), seen.grants.end(), knows_one);
}

/// Members, this one included, that hold the record of the key if they ever did.
std::size_t count_records_kept(const claim_evidence& seen)
{
    const auto n =
        std::count_if(seen.grants.begin(), seen.grants.end(), [](const auto& it) { return !it.records_lost; });
    return static_cast<std::size_t>(n) + (seen.own_records_lost ? 0 : 1);
}

/// Members, this one included, that also hold all claims of the key.
std::size_t count_claims_kept(const claim_evidence& seen)
{
    const auto n = std::count_if(
        seen.grants.begin(), seen.grants.end(), [](const auto& it) { return !it.records_lost && !it.claims_lost; });
    return static_cast<std::size_t>(n) + (seen.own_records_lost ? 0 : 1);
}

} // namespace

claim_decision decide_claim(const claim_evidence& seen)
{
    const auto asked = 1 + seen.grants.size() + seen.silent;
    const auto members = asked + seen.departed;
    const auto witnesses = count_claims_kept(seen);
    const auto open = has_open_claim(seen);
    if (seen.order == send_order::first) {
        const auto safe = !open && witnesses >= count_needed_witnesses(members);
        return safe ? claim_decision::run : claim_decision::may_have_run;
    }
    if (!open && count_records_kept(seen) == asked && !seen.holder_departed)
        return claim_decision::run;
    if (!seen.one_may_miss)
        return claim_decision::may_have_run;
    if (seen.scope == claim_scope::candidates)
        return claim_decision::ask_all;
    const auto enough = members >= least_members && witnesses + 1 >= members;
    return !open && enough ? claim_decision::run : claim_decision::may_have_run;
}

} // namespace ibisdyke::requests
