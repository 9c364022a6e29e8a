#pragma once

#include "ibisdyke/requests/messages.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace ibisdyke::requests {

/// Bounds of an agent's records.
struct record_limits {
    std::size_t max_records = 65'536;
    std::size_t max_bytes = std::size_t{64} * 1024 * 1024;
    /// Larger answers are not kept; a resend of their request gets `may_have_run`.
    std::size_t max_answer_bytes = std::size_t{1} * 1024 * 1024;
    core::milliseconds max_age{900'000};

    friend bool operator==(const record_limits&, const record_limits&) = default;
};

/// What an agent does with a non-idempotent request.
enum class begin_outcome : std::uint8_t {
    /// There was no record. The key is now claimed; ask the peers, then call confirm() or end().
    claimed,
    /// The same request is in progress here: wait for its end.
    wait,
    /// The request was answered: send the stored answer.
    replay,
    /// The request has run or may have run, and there is no answer to send.
    may_have_run,
    /// There is no room for another record. Nothing has run.
    full,
};

struct begin_result {
    begin_outcome outcome = begin_outcome::may_have_run;
    /// Set with `replay`.
    std::optional<stored_answer> answer;

    friend bool operator==(const begin_result&, const begin_result&) = default;
};

/// What an agent answers to a peer's query.
struct peer_result {
    /// Nothing when the request is in progress here: answer at its end.
    std::optional<lookup_answer> answer;
    /// The own claim of the key gave way to the peer's. The own request must end as not run.
    bool own_claim_ceded = false;

    friend bool operator==(const peer_result&, const peer_result&) = default;
};

/// The records of the non-idempotent requests that an agent has seen, so that each runs at most once. Only requests
/// whose key was chosen by the caller need a record: nobody else can send the key again. Not thread-safe.
class idempotency_records {
public:
    /// `complete_since` is the wall-clock time since which this agent has held all records of its upstream: the start
    /// of the process if an earlier process served the upstream, nothing if this is the first.
    idempotency_records(
        const core::upstream_id& self, const record_limits& limits, std::optional<core::wall_time> complete_since);

    /// `first_sent` is the caller's time of the first send, when it is known. `lost_until` is the latest time at which
    /// a member left that may have held the record.
    begin_result begin(const record_key& key, std::optional<core::wall_time> first_sent,
        std::optional<core::wall_time> lost_until, core::wall_time now);

    /// The caller states that this is the first send of the key, so that no record of it can have been lost.
    begin_result begin_first(const record_key& key, core::wall_time first_sent, core::wall_time now);

    /// Like begin() for a key whose claims the peers still remember: whether a record of an earlier process or of a
    /// member that left can have been lost is for decide_claim() to judge.
    begin_result begin_recent(const record_key& key, core::wall_time first_sent, core::wall_time now);

    /// Whether an earlier process of this agent may have held a record of a key first sent then.
    bool is_lost_by_restart(core::wall_time first_sent) const;

    /// The peers hold no record: the request is about to run. False means that the claim was ceded to a peer.
    bool confirm(const record_key& key);

    /// The request has ended. `not_run` removes the record; `answered` without an answer to keep is like
    /// `may_have_run`.
    void end(const record_key& key, core::verdict outcome, std::optional<stored_answer> answer);

    /// A peer asks for a key.
    peer_result answer_peer(const lookup_query& query, core::wall_time now);

    /// Whether a peer may have claimed the key within the last `claim_memory`. A first send that arrives after a later
    /// send of its key was claimed elsewhere must not be taken for the only one.
    bool was_claimed_by_peer(const record_key& key, core::wall_time now);

    /// Returns the processes that have claimed the key here within the last `claim_memory`; nothing when some claims
    /// could not be remembered.
    std::optional<std::vector<agent_instance>> claimants(const record_key& key, core::wall_time now);

    /// Longer than a first send may be on its way, with the tolerance for clocks.
    static constexpr core::milliseconds claim_memory{30'000};

    /// Returns what a peer that waited for a key gets at the end of the request.
    lookup_answer report_end(const record_key& key) const;

    /// Removes records that are too old.
    void expire(core::wall_time now);

    std::size_t size() const { return records_.size(); }
    std::size_t bytes() const { return bytes_; }

private:
    enum class state : std::uint8_t {
        claimed,
        running,
        answered,
        unknown,
    };

    struct record {
        state progress = state::claimed;
        core::wall_time first_sent;
        core::wall_time created;
        stored_answer answer;
    };

    using record_map = std::map<record_key, record>;

    std::optional<begin_result> find_present(const record_key& key);
    begin_result claim(const record_key& key, core::wall_time first_sent, core::wall_time now);
    bool may_be_lost(std::optional<core::wall_time> first_sent, std::optional<core::wall_time> lost_until,
        core::wall_time now) const;
    bool is_evicted(std::optional<core::wall_time> first_sent, core::wall_time now) const;
    lookup_answer answer_without_record(const lookup_query& query, core::wall_time now);
    void remember_claim(const record_key& key, const agent_instance& by, core::wall_time now);
    void forget_old_claims(core::wall_time now);
    void evict_oldest();
    void forget(record_map::iterator it);

    core::upstream_id self_;
    record_limits limits_;
    std::optional<core::wall_time> complete_since_;
    record_map records_;
    /// Ended records, oldest end first.
    std::deque<record_key> ended_;
    std::size_t bytes_ = 0;
    /// Keys that peers have claimed here, with the latest time, and their claims by time.
    std::map<std::pair<record_key, agent_instance>, core::wall_time> peer_claims_;
    std::deque<std::pair<core::wall_time, std::pair<record_key, agent_instance>>> peer_claim_order_;
    /// There was no room to remember a claim: until then, every key may have been claimed.
    std::optional<core::wall_time> peer_claims_incomplete_until_;
    /// The latest first-sent time of any record evicted, and the time of the latest eviction.
    std::optional<core::wall_time> evicted_until_;
    std::optional<core::wall_time> evicted_at_;
};

} // namespace ibisdyke::requests
