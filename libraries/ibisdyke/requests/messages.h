#pragma once

#include "ibisdyke/core/ids.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/core/verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ibisdyke::requests {

/// Identifies an idempotency record. Callers choose the idempotency keys, so two neighbours may choose the same key.
struct record_key {
    /// The neighbour whose caller chose the key.
    core::neighbour owner;
    /// The idempotency key.
    std::string key;

    friend bool operator==(const record_key&, const record_key&) = default;
    friend auto operator<=>(const record_key&, const record_key&) = default;
};

/// What the caller states about earlier sends of the same key.
enum class send_order : std::uint8_t {
    /// The caller states nothing, so the key may have been sent before.
    unknown,
    /// This is the first send of the key.
    first,
};

/// A complete answer, stored to be replayed to resends of its request.
struct stored_answer {
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    friend bool operator==(const stored_answer&, const stored_answer&) = default;
};

/// One process of an agent. A restarted agent is a new instance.
struct agent_instance {
    core::upstream_id agent;
    core::incarnation incarnation;

    friend bool operator==(const agent_instance&, const agent_instance&) = default;
    friend auto operator<=>(const agent_instance&, const agent_instance&) = default;
};

/// Asks a peer agent whether it holds the record of a key, and claims the key for the asking agent.
struct lookup_query {
    record_key key;
    core::service_id service;
    /// The asking agent. When two agents claim a key at the same time, the agent with the lower id keeps its claim.
    core::upstream_id asker;
    /// When the caller first sent the key, by the caller's clock; nothing if unknown.
    std::optional<core::wall_time> first_sent;
    /// How long the asking agent can wait for a request in progress to end.
    core::milliseconds max_wait{0};
    send_order order = send_order::unknown;
    /// The incarnation of the asking agent's process.
    core::incarnation asker_incarnation;

    friend bool operator==(const lookup_query&, const lookup_query&) = default;
};

enum class lookup_status : std::uint8_t {
    /// The peer has no record and has not run the key. It will not run the key without a lookup of its own.
    absent,
    /// The peer holds a claim that takes precedence. The asking agent must not run the request.
    claimed,
    /// The request was answered at the peer; the lookup returns the stored answer.
    answered,
    /// The request has run or may have run at the peer, and its answer is not available.
    unknown,
};

struct lookup_answer {
    lookup_status status = lookup_status::unknown;
    /// Set with `answered`.
    std::optional<stored_answer> answer;
    /// The process that answers the lookup.
    agent_instance peer;
    /// The peer holds no record, but an earlier process of it may have held one, which was lost. Set with `unknown` or
    /// `absent`.
    bool records_lost = false;
    /// The peer ran out of space for claims recently, so `claimants` may be incomplete.
    bool claims_lost = false;
    /// Other processes that have claimed the key at the peer. Set only if the peer holds no record, so that the status
    /// is `absent` or `unknown`.
    std::vector<agent_instance> claimants;

    friend bool operator==(const lookup_answer&, const lookup_answer&) = default;
};

} // namespace ibisdyke::requests
