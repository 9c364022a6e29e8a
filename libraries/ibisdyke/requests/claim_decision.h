#pragma once

#include "ibisdyke/requests/messages.h"

#include <cstddef>
#include <vector>

namespace ibisdyke::requests {

/// A peer that was asked for a key and holds no record of it.
struct claim_grant {
    agent_instance peer;
    /// The peer may have lost a record of the key.
    bool records_lost = false;
    /// The peer may have lost a claim of the key.
    bool claims_lost = false;
    /// Other processes that have claimed the key there.
    std::vector<agent_instance> claimants;

    friend bool operator==(const claim_grant&, const claim_grant&) = default;
};

/// How far the members were asked.
enum class claim_scope : std::uint8_t {
    /// Those that the current tables name.
    candidates,
    /// Every member of the service that is present.
    all_members,
};

/// What an agent knows about a key that it has claimed, when the members that it asked have answered or failed.
struct claim_evidence {
    agent_instance self;
    send_order order = send_order::unknown;
    claim_scope scope = claim_scope::candidates;
    /// An earlier process of this agent may have held the record.
    bool own_records_lost = false;
    /// Other processes that have claimed the key here.
    std::vector<agent_instance> own_claimants;
    std::vector<claim_grant> grants;
    /// Members that were asked and gave no answer.
    std::size_t silent = 0;
    /// Members that left and may have taken part in a run of the key.
    std::size_t departed = 0;
    /// One of these was in the chain of the key's bucket.
    bool holder_departed = false;
    /// The peers still remember all claims of the key, every member knows this agent, and it is a candidate: one
    /// missing member can be made up for by all others.
    bool one_may_miss = false;

    friend bool operator==(const claim_evidence&, const claim_evidence&) = default;
};

enum class claim_decision : std::uint8_t {
    run,
    /// One of the candidates is missing: ask the other members too.
    ask_all,
    may_have_run,
};

/// Decides whether the key may run. A resend runs when every member that may hold the record says that there is none,
/// or when all members of the service but one say so and none of them knows a claim by the missing one. Any two sets of
/// all members but one have a member in common if there are at least three members, so two agents cannot both run a
/// key. A first send needs two members, this one included, that have lost nothing: one of them knows of any such run.
claim_decision decide_claim(const claim_evidence& seen);

} // namespace ibisdyke::requests
