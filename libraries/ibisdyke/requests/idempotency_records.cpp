#include "ibisdyke/requests/idempotency_records.h"

#include "ibisdyke/requests/deadline.h"

#include <algorithm>
#include <utility>

namespace ibisdyke::requests {

namespace {

/// Counted for each record in addition to its strings, for the nodes of the containers that hold it.
constexpr std::size_t record_overhead_bytes = 200;

std::size_t size_of(const record_key& key, const stored_answer& answer)
{
    auto result = record_overhead_bytes + key.key.size() + key.owner.value().size() + answer.body.size();
    for (const auto& [name, value] : answer.headers)
        result += name.size() + value.size();
    return result;
}

} // namespace

idempotency_records::idempotency_records(
    const core::upstream_id& self, const record_limits& limits, std::optional<core::wall_time> complete_since)
    : self_(self)
    , limits_(limits)
    , complete_since_(complete_since)
{
}

begin_result idempotency_records::begin(const record_key& key, std::optional<core::wall_time> first_sent,
    std::optional<core::wall_time> lost_until, core::wall_time now)
{
    expire(now);
    if (const auto existing = find_existing(key))
        return *existing;
    if (may_have_lost(first_sent, lost_until, now))
        return {begin_outcome::may_have_run, std::nullopt};
    return insert_claim(key, first_sent.value_or(now), now);
}

begin_result idempotency_records::begin_first(const record_key& key, core::wall_time first_sent, core::wall_time now)
{
    expire(now);
    if (const auto existing = find_existing(key))
        return *existing;
    return insert_claim(key, first_sent, now);
}

begin_result idempotency_records::begin_recent(const record_key& key, core::wall_time first_sent, core::wall_time now)
{
    expire(now);
    if (const auto existing = find_existing(key))
        return *existing;
    if (may_be_evicted(first_sent, now))
        return {begin_outcome::may_have_run, std::nullopt};
    return insert_claim(key, first_sent, now);
}

bool idempotency_records::is_lost_by_restart(core::wall_time first_sent) const
{
    return complete_since_ && first_sent < *complete_since_ + clock_skew_tolerance;
}

std::optional<begin_result> idempotency_records::find_existing(const record_key& key)
{
    const auto it = records_.find(key);
    if (it == records_.end())
        return std::nullopt;
    switch (it->second.status) {
    case state::claimed:
    case state::running:
        return begin_result{begin_outcome::wait, std::nullopt};
    case state::answered:
        return begin_result{begin_outcome::replay, it->second.answer};
    case state::unknown:
        break;
    }
    return begin_result{begin_outcome::may_have_run, std::nullopt};
}

begin_result idempotency_records::insert_claim(const record_key& key, core::wall_time first_sent, core::wall_time now)
{
    while (records_.size() >= limits_.max_records && !ended_.empty())
        evict_oldest();
    if (records_.size() >= limits_.max_records)
        return {begin_outcome::full, std::nullopt};
    bytes_ += size_of(key, {});
    records_.emplace(key, record{state::claimed, first_sent, now, {}});
    return {begin_outcome::claimed, std::nullopt};
}

bool idempotency_records::confirm(const record_key& key)
{
    const auto it = records_.find(key);
    if (it == records_.end() || it->second.status != state::claimed)
        return false;
    it->second.status = state::running;
    return true;
}

void idempotency_records::end(const record_key& key, core::verdict outcome, std::optional<stored_answer> answer)
{
    const auto it = records_.find(key);
    if (it == records_.end() || it->second.status == state::answered || it->second.status == state::unknown)
        return;
    if (outcome == core::verdict::not_run) {
        erase(it);
        return;
    }
    it->second.status = state::unknown;
    if (outcome == core::verdict::answered && answer && answer->body.size() <= limits_.max_answer_bytes) {
        it->second.status = state::answered;
        bytes_ -= size_of(key, {});
        bytes_ += size_of(key, *answer);
        it->second.answer = std::move(*answer);
    }
    ended_.push_back(key);
    while (bytes_ > limits_.max_bytes && !ended_.empty())
        evict_oldest();
}

lookup_result idempotency_records::answer_peer(const lookup_query& query, core::wall_time now)
{
    expire(now);
    const auto it = records_.find(query.key);
    if (it == records_.end())
        return {answer_absent(query, now), false};
    if (it->second.status == state::running)
        return {};
    if (it->second.status != state::claimed)
        return {report_end(query.key), false};
    // Both agents have claimed the key and neither has run it. Both must resolve the conflict in the same way without
    // another message, so the agent with the lower id keeps its claim.
    if (query.asker < self_) {
        erase(it);
        return {answer_absent(query, now), true};
    }
    return {lookup_answer{lookup_status::claimed, std::nullopt}, false};
}

lookup_answer idempotency_records::answer_absent(const lookup_query& query, core::wall_time now)
{
    const agent_instance asker{query.asker, query.asker_incarnation};
    const auto sent = query.first_sent.value_or(now - limits_.max_age);
    const auto others = claimants(query.key, now);
    lookup_answer result;
    result.status = lookup_status::absent;
    result.records_lost = is_lost_by_restart(sent);
    result.claims_lost = !others;
    if (query.order != send_order::first && may_have_lost(query.first_sent, std::nullopt, now))
        result.status = lookup_status::unknown;
    // An evicted record belonged to this process. The records and claims of the peers cannot replace it, so the asker
    // must not treat this agent as a missing member.
    if (result.status == lookup_status::unknown && may_be_evicted(query.first_sent, now))
        result.records_lost = false;
    for (const auto& it : others.value_or(std::vector<agent_instance>{})) {
        if (it != asker)
            result.claimants.push_back(it);
    }
    store_peer_claim(query.key, asker, now);
    return result;
}

bool idempotency_records::was_claimed_by_peer(const record_key& key, core::wall_time now)
{
    const auto known = claimants(key, now);
    return !known || !known->empty();
}

std::optional<std::vector<agent_instance>> idempotency_records::claimants(const record_key& key, core::wall_time now)
{
    expire_peer_claims(now);
    if (peer_claims_incomplete_until_ && now < *peer_claims_incomplete_until_)
        return std::nullopt;
    std::vector<agent_instance> result;
    for (auto it = peer_claims_.lower_bound({key, {}}); it != peer_claims_.end() && it->first.first == key; ++it)
        result.push_back(it->first.second);
    return result;
}

void idempotency_records::store_peer_claim(const record_key& key, const agent_instance& by, core::wall_time now)
{
    expire_peer_claims(now);
    if (peer_claim_order_.size() >= limits_.max_records) {
        peer_claims_incomplete_until_ = now + claim_retention;
        return;
    }
    peer_claims_.insert_or_assign({key, by}, now);
    peer_claim_order_.emplace_back(now, std::pair{key, by});
}

void idempotency_records::expire_peer_claims(core::wall_time now)
{
    while (!peer_claim_order_.empty() && now - peer_claim_order_.front().first >= claim_retention) {
        const auto it = peer_claims_.find(peer_claim_order_.front().second);
        // A later claim of the same key by the same peer has its own entry in peer_claim_order_.
        if (it != peer_claims_.end() && it->second == peer_claim_order_.front().first)
            peer_claims_.erase(it);
        peer_claim_order_.pop_front();
    }
}

lookup_answer idempotency_records::report_end(const record_key& key) const
{
    const auto it = records_.find(key);
    if (it == records_.end())
        return {lookup_status::absent, std::nullopt};
    if (it->second.status == state::answered)
        return {lookup_status::answered, it->second.answer};
    return {lookup_status::unknown, std::nullopt};
}

void idempotency_records::expire(core::wall_time now)
{
    while (!ended_.empty()) {
        const auto it = records_.find(ended_.front());
        if (now - it->second.created < limits_.max_age)
            return;
        latest_removed_first_sent_ =
            std::max(latest_removed_first_sent_.value_or(it->second.first_sent), it->second.first_sent);
        erase(it);
        ended_.pop_front();
    }
}

bool idempotency_records::may_have_lost(
    std::optional<core::wall_time> first_sent, std::optional<core::wall_time> lost_until, core::wall_time now) const
{
    // A request without a first-sent time may have been sent at any time within the maximum age of a record.
    const auto sent = first_sent.value_or(now - limits_.max_age);
    if (complete_since_ && sent < *complete_since_ + clock_skew_tolerance)
        return true;
    if (lost_until && sent <= *lost_until + clock_skew_tolerance)
        return true;
    return may_be_evicted(first_sent, now);
}

bool idempotency_records::may_be_evicted(std::optional<core::wall_time> first_sent, core::wall_time now) const
{
    if (!first_sent)
        return latest_evicted_created_ && now - limits_.max_age <= *latest_evicted_created_;
    // For a resend of an evicted key, both times were stated by the same caller, so no tolerance for clocks is needed.
    return latest_removed_first_sent_ && *first_sent <= *latest_removed_first_sent_;
}

void idempotency_records::evict_oldest()
{
    const auto it = records_.find(ended_.front());
    latest_removed_first_sent_ =
        std::max(latest_removed_first_sent_.value_or(it->second.first_sent), it->second.first_sent);
    latest_evicted_created_ = std::max(latest_evicted_created_.value_or(it->second.created), it->second.created);
    erase(it);
    ended_.pop_front();
}

void idempotency_records::erase(record_map::iterator it)
{
    bytes_ -= size_of(it->first, it->second.answer);
    records_.erase(it);
}

} // namespace ibisdyke::requests
