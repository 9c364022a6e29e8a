#pragma once

#include "ibisdyke/requests/messages.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace ibisdyke::requests {

/// Limits of an agent's idempotency records.
struct record_limits {
    std::size_t max_records = 65'536;
    std::size_t max_bytes = std::size_t{64} * 1024 * 1024;
    /// Larger answers are not stored; a resend of their request gets `may_have_run`.
    std::size_t max_answer_bytes = std::size_t{1} * 1024 * 1024;
    core::milliseconds max_age{900'000};

    friend bool operator==(const record_limits&, const record_limits&) = default;
};

/// What an agent does with a non-idempotent request that arrives.
enum class begin_outcome : std::uint8_t {
    /// There was no record, and the key is now claimed. Look the key up at the peers, then call confirm() or end().
    claimed,
    /// The same request is in progress at this agent: wait for its end.
    wait,
    /// The request was answered before: send the stored answer.
    replay,
    /// The request has run or may have run, and no answer is stored.
    may_have_run,
    /// There is no space for another record. The request has not run.
    full,
};

struct begin_result {
    begin_outcome outcome = begin_outcome::may_have_run;
    /// Set with `replay`.
    std::optional<stored_answer> answer;

    friend bool operator==(const begin_result&, const begin_result&) = default;
};

/// What an agent does with the lookup of a peer.
struct lookup_result {
    /// Nothing while the request runs at this agent: answer when it ends.
    std::optional<lookup_answer> answer;
    /// The conflict of this agent's claim with the peer's claim was resolved in favour of the peer. The request of this
    /// agent must end as `not_run`.
    bool own_claim_lost = false;

    friend bool operator==(const lookup_result&, const lookup_result&) = default;
};

/// The idempotency records of the non-idempotent requests that an agent has received, so that each request runs at
/// most once. A request needs a record only if its caller chose the idempotency key: a key that the balancer generated
/// is never sent again by a caller. Not thread-safe.
class idempotency_records {
public:
    /// `complete_since` is the wall-clock time since which this agent holds all records of its upstream: the start of
    /// this process if an earlier process served the upstream, nothing if this process is the first.
    idempotency_records(
        const core::upstream_id& self, const record_limits& limits, std::optional<core::wall_time> complete_since);

    /// Claims the key, unless there is a record of it or one may have been lost. `first_sent` is the time of the first
    /// send by the caller's clock, if known. `lost_until` is the latest time at which a member left that may have held
    /// the record.
    begin_result begin(const record_key& key, std::optional<core::wall_time> first_sent,
        std::optional<core::wall_time> lost_until, core::wall_time now);

    /// Like begin() for a request of which the caller states that it is the first send of the key, so that no record of
    /// it can have been lost.
    begin_result begin_first(const record_key& key, core::wall_time first_sent, core::wall_time now);

    /// Like begin() for a key whose claims the peers still remember. Does not check whether an earlier process or a
    /// departed member may have lost a record; decide_claim() takes this into account.
    begin_result begin_recent(const record_key& key, core::wall_time first_sent, core::wall_time now);

    /// Whether an earlier process of this agent may have held a record of a key that was first sent at `first_sent`.
    bool is_lost_by_restart(core::wall_time first_sent) const;

    /// Marks a claimed key as running, after the lookup has found no record at the peers. Returns false if the claim
    /// was lost to a peer's claim.
    bool confirm(const record_key& key);

    /// Records the end of the request. `not_run` removes the record. `answered` without an answer to store is treated
    /// like `may_have_run`.
    void end(const record_key& key, core::verdict outcome, std::optional<stored_answer> answer);

    /// Answers the lookup of a peer, and resolves the conflict if both agents have claimed the key.
    lookup_result answer_peer(const lookup_query& query, core::wall_time now);

    /// Whether a peer may have claimed the key within the last `claim_retention`. In this case a later send of the
    /// key may have overtaken the first send, which then must not be treated as the only send.
    bool was_claimed_by_peer(const record_key& key, core::wall_time now);

    /// Returns the processes that have claimed the key at this agent within the last `claim_retention`. Returns nothing
    /// if there was no space to store some claim of that time.
    std::optional<std::vector<agent_instance>> claimants(const record_key& key, core::wall_time now);

    /// How long claims of peers are stored. Exceeds the longest delivery time of a first send plus the tolerance for
    /// clocks.
    static constexpr core::milliseconds claim_retention{30'000};

    /// Returns the answer to a peer's lookup that waited for the end of the request.
    lookup_answer report_end(const record_key& key) const;

    /// Removes records older than record_limits::max_age.
    void expire(core::wall_time now);

    std::size_t size() const { return records_.size(); }
    std::size_t bytes() const { return bytes_; }

private:
    enum class state : std::uint8_t {
        claimed,
        running,
        answered,
        /// The request has run or may have run, and no answer is stored.
        unknown,
    };

    struct record {
        state status = state::claimed;
        core::wall_time first_sent;
        core::wall_time created;
        stored_answer answer;
    };

    using record_map = std::map<record_key, record>;

    std::optional<begin_result> find_existing(const record_key& key);
    begin_result insert_claim(const record_key& key, core::wall_time first_sent, core::wall_time now);
    bool may_have_lost(std::optional<core::wall_time> first_sent, std::optional<core::wall_time> lost_until,
        core::wall_time now) const;
    bool may_be_evicted(std::optional<core::wall_time> first_sent, core::wall_time now) const;
    lookup_answer answer_absent(const lookup_query& query, core::wall_time now);
    void store_peer_claim(const record_key& key, const agent_instance& by, core::wall_time now);
    void expire_peer_claims(core::wall_time now);
    void evict_oldest();
    void erase(record_map::iterator it);

    core::upstream_id self_;
    record_limits limits_;
    std::optional<core::wall_time> complete_since_;
    record_map records_;
    /// Keys of the ended records, in the order in which the requests ended.
    std::deque<record_key> ended_;
    std::size_t bytes_ = 0;
    /// The time of the latest claim of each key by each peer process, and all claims in the order of their times.
    std::map<std::pair<record_key, agent_instance>, core::wall_time> peer_claims_;
    std::deque<std::pair<core::wall_time, std::pair<record_key, agent_instance>>> peer_claim_order_;
    /// Set when there was no space to store a claim: until this time, any key may have been claimed.
    std::optional<core::wall_time> peer_claims_incomplete_until_;
    /// The latest first-sent time of the records that were evicted or have expired.
    std::optional<core::wall_time> latest_removed_first_sent_;
    /// The latest creation time of the records that were evicted.
    std::optional<core::wall_time> latest_evicted_created_;
};

} // namespace ibisdyke::requests
