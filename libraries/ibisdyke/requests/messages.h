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

/// What a record is kept by. Keys are chosen by callers, so two neighbours may choose the same one.
struct record_key {
    core::neighbour owner;
    std::string key;

    friend bool operator==(const record_key&, const record_key&) = default;
    friend auto operator<=>(const record_key&, const record_key&) = default;
};

/// What the caller says about earlier sends of the same key.
enum class send_order : std::uint8_t {
    /// Nothing: the key may have been sent before.
    unknown,
    /// This is the first send of the key.
    first,
};

/// A whole answer, kept for resends of its request.
struct stored_answer {
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    friend bool operator==(const stored_answer&, const stored_answer&) = default;
};

/// One run of an agent's process.
struct agent_instance {
    core::upstream_id agent;
    core::incarnation incarnation;

    friend bool operator==(const agent_instance&, const agent_instance&) = default;
    friend auto operator<=>(const agent_instance&, const agent_instance&) = default;
};

/// Asks a peer agent whether it holds the record of a key, and claims the key for the sender.
struct lookup_query {
    record_key key;
    core::service_id service;
    /// The asking agent. Of two agents that claim a key at the same time, the one with the lower id keeps it.
    core::upstream_id asker;
    /// The caller's time of the first send, when it is known.
    std::optional<core::wall_time> first_sent;
    /// How long the sender can wait for a request in progress.
    core::milliseconds patience{0};
    send_order order = send_order::unknown;
    core::incarnation asker_incarnation;

    friend bool operator==(const lookup_query&, const lookup_query&) = default;
};

enum class lookup_status : std::uint8_t {
    /// The peer has no record and has not run the key; it will not run it without asking in turn.
    absent,
    /// The peer holds a claim that takes precedence; the asker must not run the request.
    claimed,
    answered,
    /// The request has run or may have run at the peer, and its answer is not available.
    unknown,
};

struct lookup_answer {
    lookup_status status = lookup_status::unknown;
    /// Set with `answered`.
    std::optional<stored_answer> answer;
    /// The process that answers.
    agent_instance peer;
    /// The peer holds no record, but one of an earlier process of it may have been lost. Set with `unknown` or
    /// `absent`.
    bool records_lost = false;
    /// The peer could not remember all claims of the last time.
    bool claims_lost = false;
    /// Other processes that have claimed the key at the peer, with `absent` and `unknown`.
    std::vector<agent_instance> claimants;

    friend bool operator==(const lookup_answer&, const lookup_answer&) = default;
};

} // namespace ibisdyke::requests
