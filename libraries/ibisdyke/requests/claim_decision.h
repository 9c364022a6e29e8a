#pragma once

#include "ibisdyke/requests/messages.h"

#include <cstddef>
#include <vector>

namespace ibisdyke::requests {

/// The answer of a peer that was asked for a key and holds no record of it.
struct claim_grant {
    agent_instance peer;
    /// The peer may have held a record of the key and lost it.
    bool records_lost = false;
    /// The peer may have dropped a claim of the key.
    bool claims_lost = false;
    /// Other processes that have claimed the key at this peer.
    std::vector<agent_instance> claimants;

    friend bool operator==(const claim_grant&, const claim_grant&) = default;
};

/// Which members of the service were asked for the key.
enum class claim_scope : std::uint8_t {
    /// The candidates of the key's chain in the current tables.
    candidates,
    /// All present members of the service.
    all_members,
};

/// What an agent knows about a key that it has claimed, after every member that it asked has answered or failed to.
struct claim_evidence {
    agent_instance self;
    send_order order = send_order::unknown;
    claim_scope scope = claim_scope::candidates;
    /// An earlier process of this agent may have held the record.
    bool own_records_lost = false;
    /// Other processes that have claimed the key at this agent.
    std::vector<agent_instance> own_claimants;
    std::vector<claim_grant> grants;
    /// Number of members that were asked and did not answer.
    std::size_t unanswered = 0;
    /// Number of members that left the service and may have taken part in a run of the key.
    std::size_t departed = 0;
    /// At least one of the departed members was in the chain of the key's bucket.
    bool holder_departed = false;
    /// The decision may do without the answer of one member if all others answer. This holds if the peers still
    /// remember all claims of the key, every member knows this agent, and this agent is a candidate.
    bool tolerates_missing_member = false;

    friend bool operator==(const claim_evidence&, const claim_evidence&) = default;
};

enum class claim_decision : std::uint8_t {
    run,
    /// The answers of the candidates are not enough: ask the other members of the service too.
    ask_all,
    /// Do not run the key, and report that it may have run.
    may_have_run,
};

/// Decides whether the key may run. It never runs while this member or one that has answered knows a claim by a
/// process that has not reported that it holds no record.
///
/// A resend runs in two cases: every member that may hold the record reports that it has none, or all members of the
/// service except one report this. The second case needs at least three members: any two sets that leave out one member
/// each then have a member in common, so two agents cannot both run a key.
///
/// A first send in a service of at least three members needs two members, this one included, that have lost neither
/// records nor claims: at least one of the two knows of any run by a resend of the second case. In a service of two
/// members, one such member is enough, and a service with a single member needs none.
claim_decision decide_claim(const claim_evidence& seen);

} // namespace ibisdyke::requests
