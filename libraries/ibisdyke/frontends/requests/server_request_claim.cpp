#include "ibisdyke/frontends/requests/server_request.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/frontends/requests/request_server.h"
#include "ibisdyke/observability/log.h"
#include "ibisdyke/requests/deadline.h"
#include "ibisdyke/requests/wire/codec.h"
#include "ibisdyke/transport/clock.h"
#include "ibisdyke/transport/rpc_client.h"

#include <algorithm>
#include <utility>

// The part of server_request that decides whether a key may run: it checks the local record, looks the key up at the
// peers, which also claims the key there, and acts on the decision.

namespace ibisdyke::frontends {

namespace {

/// A send marked as the first is trusted up to this age on arrival: 1 s in transit and 2 s of clock skew.
constexpr core::milliseconds max_first_send_age{3000};

/// How long a request waits for lookup answers before the key is decided without the peers that have not answered, if
/// that is possible.
constexpr core::milliseconds unanswered_lookup_timeout{300};

/// The peers hold every claim of a key that is at most this old. They keep claims for 30 s; the difference covers 2 s
/// of skew of the caller's clock, 2 s of skew of the peer's clock, and the lookups themselves.
constexpr core::milliseconds max_remembered_key_age{20'000};

/// Decodes a peer's answer. Returns nothing when the call failed or the answer is malformed.
std::optional<requests::lookup_answer> read_lookup_answer(const transport::rpc_result& result)
{
    if (result.status != transport::rpc_status::ok)
        return std::nullopt;
    try {
        return requests::decode_lookup_answer(result.body);
    } catch (const core::malformed_message& e) {
        observability::write_log(observability::log_level::warning, "lookup_answer_malformed", {{"error", e.what()}});
        return std::nullopt;
    }
}

} // namespace

bool server_request::needs_record() const
{
    return idempotence_ == requests::idempotence::not_idempotent && !request_.key_generated;
}

bool server_request::is_first_send() const
{
    // A resend may have overtaken a send that is marked as the first, if that send was delayed in transit or a peer has
    // already claimed the key. The peer may have run the request and may be unreachable now.
    const auto now = transport::read_wall_clock();
    return request_.order == requests::send_order::first && request_.first_sent
        && now - *request_.first_sent <= max_first_send_age
        && !server_.records_->was_claimed_by_peer(request_.key, now);
}

const routing::chain* server_request::find_chain() const
{
    const auto bucket = routing::bucket_of_key(request_.key.key);
    return server_.routes_ ? server_.routes_->find_chain(server_.identity_->service, bucket) : nullptr;
}

bool server_request::tolerates_missing_member(core::wall_time now) const
{
    if (!request_.first_sent || now - *request_.first_sent > max_remembered_key_age)
        return false;
    const auto& self = *server_.identity_;
    if (!self.records_complete_since && !server_.record_holders_->is_known_to_all_members(*request_.first_sent))
        return false;
    const auto* const chain = find_chain();
    if (chain == nullptr || chain->candidates < 2)
        return false;
    const auto end = chain->members.begin() + static_cast<std::ptrdiff_t>(chain->candidates);
    return std::any_of(chain->members.begin(), end, [&self](const auto& it) { return it.id == self.id; });
}

requests::begin_result server_request::begin_claim(core::wall_time now)
{
    if (claim_evidence_.order == requests::send_order::first)
        return server_.records_->begin_first(request_.key, *request_.first_sent, now);
    if (claim_evidence_.tolerates_missing_member)
        return server_.records_->begin_recent(request_.key, *request_.first_sent, now);
    const auto bucket = routing::bucket_of_key(request_.key.key);
    return server_.records_->begin(
        request_.key, request_.first_sent, server_.record_holders_->records_lost_until(bucket), now);
}

void server_request::gather_evidence(core::wall_time now)
{
    claim_evidence_.self = {server_.identity_->id, server_.settings_.incarnation};
    claim_evidence_.order = is_first_send() ? requests::send_order::first : requests::send_order::unknown;
    const auto claimants = server_.records_->claimants(request_.key, now);
    claim_evidence_.own_claimants = claimants.value_or(std::vector<requests::agent_instance>{});
    claim_evidence_.tolerates_missing_member = claimants && tolerates_missing_member(now);
    if (!request_.first_sent)
        return;
    const auto lost_until = server_.record_holders_->records_lost_until(routing::bucket_of_key(request_.key.key));
    claim_evidence_.own_records_lost = server_.records_->is_lost_by_restart(*request_.first_sent);
    claim_evidence_.departed = server_.record_holders_->count_departed(*request_.first_sent);
    claim_evidence_.holder_departed =
        lost_until && *request_.first_sent <= *lost_until + requests::clock_skew_tolerance;
}

void server_request::begin_record()
{
    const auto now = transport::read_wall_clock();
    gather_evidence(now);
    const auto result = begin_claim(now);
    switch (result.outcome) {
    case requests::begin_outcome::claimed:
        claimed_ = true;
        server_.claim_holders_.insert_or_assign(request_.key, weak_from_this());
        look_up_at_peers();
        return;
    case requests::begin_outcome::wait:
        server_.parts_.counters.add("resends_joined", 1);
        server_.waiting_requests_[request_.key].push_back(weak_from_this());
        return;
    case requests::begin_outcome::replay:
        server_.parts_.counters.add("resends_replayed", 1);
        send_stored_answer(*result.answer);
        end(core::verdict::not_run, std::nullopt);
        return;
    case requests::begin_outcome::may_have_run:
        reject_as_may_have_run();
        return;
    case requests::begin_outcome::full:
        reject_as_not_run();
        return;
    }
}

void server_request::look_up_at_peers()
{
    // A first send needs two members, including this one, that have lost no records. After a loss of records the
    // candidates may not suffice, so all members are asked.
    const auto records_lost = claim_evidence_.own_records_lost || claim_evidence_.holder_departed;
    claim_evidence_.scope = records_lost ? requests::claim_scope::all_members : requests::claim_scope::candidates;
    const auto peers =
        server_.record_holders_->peers_to_ask(records_lost ? nullptr : find_chain(), request_.first_sent);
    if (peers.empty()) {
        apply_claim_decision(requests::decide_claim(claim_evidence_));
        return;
    }
    // A peer that is running the key answers only when the run ends. So the timer must not end the lookups; it only
    // starts a check whether the key can be decided without the peers that have not answered.
    if (claim_evidence_.order != requests::send_order::first && claim_evidence_.tolerates_missing_member) {
        lookup_timer_.setSingleShot(true);
        QObject::connect(&lookup_timer_, &QTimer::timeout, &lookup_timer_, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->on_lookup_timeout();
        });
        lookup_timer_.start(unanswered_lookup_timeout);
    }
    send_lookups(peers);
}

void server_request::send_lookups(const std::vector<core::endpoint>& peers)
{
    const auto now = transport::read_clock();
    auto lookup_timeout = requests::time_remaining(deadline_, now);
    if (claim_evidence_.order == requests::send_order::first)
        lookup_timeout = std::min(lookup_timeout, unanswered_lookup_timeout);
    const auto query = encode(requests::lookup_query{request_.key, server_.identity_->service, server_.identity_->id,
        request_.first_sent, lookup_timeout, claim_evidence_.order, server_.settings_.incarnation});
    pending_lookups_ += peers.size();
    asked_peers_.insert(asked_peers_.end(), peers.begin(), peers.end());
    for (const auto& it : peers) {
        transport::rpc_client client(server_.peer_connections_->find_or_create(it, now));
        client.call("/requests/lookup", query, lookup_timeout, [weak = weak_from_this()](const auto& result) {
            if (const auto self = weak.lock())
                self->on_peer_answer(read_lookup_answer(result));
        });
    }
}

void server_request::on_peer_answer(const std::optional<requests::lookup_answer>& answer)
{
    if (stage_ != stage::waiting)
        return;
    --pending_lookups_;
    if (!answer) {
        ++claim_evidence_.unanswered;
    } else if (answer->status == requests::lookup_status::claimed) {
        send_verdict(core::verdict::not_run);
        end(core::verdict::not_run, std::nullopt);
        return;
    } else if (answer->status == requests::lookup_status::answered) {
        server_.parts_.counters.add("resends_replayed", 1);
        send_stored_answer(*answer->answer);
        end(core::verdict::answered, answer->answer);
        return;
    } else if (answer->status == requests::lookup_status::unknown && !answer->records_lost) {
        reject_as_may_have_run();
        return;
    } else {
        claim_evidence_.grants.push_back({answer->peer, answer->records_lost, answer->claims_lost, answer->claimants});
    }
    const auto answer_unusable = !answer || answer->records_lost;
    const auto undecidable = answer_unusable && claim_evidence_.order != requests::send_order::first
        && !claim_evidence_.tolerates_missing_member;
    if (undecidable || pending_lookups_ == 0)
        apply_claim_decision(requests::decide_claim(claim_evidence_));
}

void server_request::on_lookup_timeout()
{
    if (stage_ != stage::waiting || pending_lookups_ == 0)
        return;
    auto evidence = claim_evidence_;
    evidence.unanswered += pending_lookups_;
    const auto decision = requests::decide_claim(evidence);
    // If the key cannot be decided without the missing answers, the request keeps waiting for them.
    if (decision != requests::claim_decision::may_have_run)
        apply_claim_decision(decision);
}

void server_request::apply_claim_decision(requests::claim_decision it)
{
    switch (it) {
    case requests::claim_decision::run:
        confirm_claim_and_enqueue();
        return;
    case requests::claim_decision::ask_all:
        break;
    case requests::claim_decision::may_have_run:
        reject_as_may_have_run();
        return;
    }
    claim_evidence_.scope = requests::claim_scope::all_members;
    claim_evidence_.tolerates_missing_member = tolerates_missing_member(transport::read_wall_clock());
    auto others = server_.record_holders_->peers_to_ask(nullptr, request_.first_sent);
    std::erase_if(others, [this](const auto& peer) {
        return std::find(asked_peers_.begin(), asked_peers_.end(), peer) != asked_peers_.end();
    });
    send_lookups(others);
    if (pending_lookups_ == 0)
        apply_claim_decision(requests::decide_claim(claim_evidence_));
    else if (lookup_timer_.isSingleShot())
        lookup_timer_.start(unanswered_lookup_timeout);
}

void server_request::reject_as_may_have_run()
{
    server_.parts_.counters.add("resends_unknown", 1);
    send_verdict(core::verdict::may_have_run);
    // This agent has not run the request. A record of it would block a later resend that is safe to run by then.
    end(core::verdict::not_run, std::nullopt);
}

void server_request::confirm_claim_and_enqueue()
{
    if (claimed_ && !server_.records_->confirm(request_.key)) {
        reject_as_not_run();
        return;
    }
    stage_ = stage::queued;
    server_.offer(shared_from_this());
}

} // namespace ibisdyke::frontends
