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

// How an attempt finds out whether its key has run: the record here, the claims of peers, and the decision between
// them.

namespace ibisdyke::frontends {

namespace {

/// Largest age of a first send on arrival: 1 s on its way and 2 s between the clocks.
constexpr core::milliseconds max_first_send_age{3000};

/// How long a first send waits for peers that do not answer.
constexpr core::milliseconds first_send_patience{300};

/// Peers remember claims for 30 s: 2 s are for the caller's clock, 2 s for the peer's, and the rest for the exchange.
constexpr core::milliseconds max_witnessed_age{20'000};

/// Returns the answer of a peer, or nothing when it gave none that can be read.
std::optional<requests::lookup_answer> read_lookup(const transport::rpc_result& result)
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
    return kind_ == requests::idempotence::not_idempotent && !request_.key_generated;
}

bool server_request::is_first_send() const
{
    // A first send that was long on its way may have been overtaken by a later one, and so may one whose key a peer has
    // already claimed: that peer may have run it and may be out of reach now.
    const auto now = transport::read_wall_clock();
    return request_.order == requests::send_order::first && request_.first_sent
        && now - *request_.first_sent <= max_first_send_age
        && !server_.records_->was_claimed_by_peer(request_.key, now);
}

const routing::chain* server_request::find_chain() const
{
    const auto bucket = routing::bucket_of_key(request_.key.key);
    return server_.seen_routes_ ? server_.seen_routes_->find_chain(server_.identity_->service, bucket) : nullptr;
}

// The peers must still remember every claim of the key, and no member may decide it without knowing of this agent.
bool server_request::may_miss_one(core::wall_time now) const
{
    if (!request_.first_sent || now - *request_.first_sent > max_witnessed_age)
        return false;
    const auto& self = *server_.identity_;
    if (!self.records_complete_since && !server_.holders_->is_established(*request_.first_sent))
        return false;
    const auto* const chain = find_chain();
    if (chain == nullptr || chain->candidates < 2)
        return false;
    const auto end = chain->members.begin() + static_cast<std::ptrdiff_t>(chain->candidates);
    return std::any_of(chain->members.begin(), end, [&self](const auto& it) { return it.id == self.id; });
}

requests::begin_result server_request::begin_claim(core::wall_time now)
{
    if (evidence_.order == requests::send_order::first)
        return server_.records_->begin_first(request_.key, *request_.first_sent, now);
    if (evidence_.one_may_miss)
        return server_.records_->begin_recent(request_.key, *request_.first_sent, now);
    const auto bucket = routing::bucket_of_key(request_.key.key);
    return server_.records_->begin(request_.key, request_.first_sent, server_.holders_->lost_until(bucket), now);
}

void server_request::gather_evidence(core::wall_time now)
{
    evidence_.self = {server_.identity_->id, server_.settings_.incarnation};
    evidence_.order = is_first_send() ? requests::send_order::first : requests::send_order::unknown;
    const auto claimants = server_.records_->claimants(request_.key, now);
    evidence_.own_claimants = claimants.value_or(std::vector<requests::agent_instance>{});
    evidence_.one_may_miss = claimants && may_miss_one(now);
    if (!request_.first_sent)
        return;
    const auto lost_until = server_.holders_->lost_until(routing::bucket_of_key(request_.key.key));
    evidence_.own_records_lost = server_.records_->is_lost_by_restart(*request_.first_sent);
    evidence_.departed = server_.holders_->count_departed(*request_.first_sent);
    evidence_.holder_departed = lost_until && *request_.first_sent <= *lost_until + requests::clock_skew_tolerance;
}

void server_request::begin_record()
{
    const auto now = transport::read_wall_clock();
    gather_evidence(now);
    const auto result = begin_claim(now);
    switch (result.outcome) {
    case requests::begin_outcome::claimed:
        claimed_ = true;
        server_.claims_.insert_or_assign(request_.key, weak_from_this());
        ask_peers();
        return;
    case requests::begin_outcome::wait:
        server_.parts_.counters.add("resends_joined", 1);
        server_.waiters_[request_.key].push_back(weak_from_this());
        return;
    case requests::begin_outcome::replay:
        server_.parts_.counters.add("resends_replayed", 1);
        replay(*result.answer);
        end(core::verdict::not_run, std::nullopt);
        return;
    case requests::begin_outcome::may_have_run:
        give_up_claim();
        return;
    case requests::begin_outcome::full:
        end_not_run();
        return;
    }
}

void server_request::ask_peers()
{
    // A first send needs two members without loss, so one more than the candidates may be needed after a restart.
    const auto lossy = evidence_.own_records_lost || evidence_.holder_departed;
    evidence_.scope = lossy ? requests::claim_scope::all_members : requests::claim_scope::candidates;
    const auto peers = server_.holders_->peers(lossy ? nullptr : find_chain(), request_.first_sent);
    if (peers.empty()) {
        take_claim_decision(requests::decide_claim(evidence_));
        return;
    }
    // A peer that runs the key answers at the end of the run, so that the wait for silent ones must not end the lookup.
    if (evidence_.order != requests::send_order::first && evidence_.one_may_miss) {
        silence_timer_.setSingleShot(true);
        QObject::connect(&silence_timer_, &QTimer::timeout, &silence_timer_, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->on_silence();
        });
        silence_timer_.start(first_send_patience);
    }
    ask(peers);
}

void server_request::ask(const std::vector<core::endpoint>& peers)
{
    const auto now = transport::read_clock();
    auto patience = requests::time_remaining(deadline_, now);
    if (evidence_.order == requests::send_order::first)
        patience = std::min(patience, first_send_patience);
    const auto query = encode(requests::lookup_query{request_.key, server_.identity_->service, server_.identity_->id,
        request_.first_sent, patience, evidence_.order, server_.settings_.incarnation});
    open_lookups_ += peers.size();
    asked_.insert(asked_.end(), peers.begin(), peers.end());
    for (const auto& it : peers) {
        transport::rpc_client client(server_.peers_->find(it, now));
        client.call("/requests/lookup", query, patience, [weak = weak_from_this()](const auto& result) {
            if (const auto self = weak.lock())
                self->on_peer_answer(read_lookup(result));
        });
    }
}

void server_request::on_peer_answer(const std::optional<requests::lookup_answer>& answer)
{
    if (stage_ != stage::waiting)
        return;
    --open_lookups_;
    if (!answer) {
        ++evidence_.silent;
    } else if (answer->status == requests::lookup_status::claimed) {
        state_verdict(core::verdict::not_run);
        end(core::verdict::not_run, std::nullopt);
        return;
    } else if (answer->status == requests::lookup_status::answered) {
        server_.parts_.counters.add("resends_replayed", 1);
        replay(*answer->answer);
        end(core::verdict::answered, answer->answer);
        return;
    } else if (answer->status == requests::lookup_status::unknown && !answer->records_lost) {
        give_up_claim();
        return;
    } else {
        evidence_.grants.push_back({answer->peer, answer->records_lost, answer->claims_lost, answer->claimants});
    }
    const auto missing = !answer || answer->records_lost;
    const auto hopeless = missing && evidence_.order != requests::send_order::first && !evidence_.one_may_miss;
    if (hopeless || open_lookups_ == 0)
        take_claim_decision(requests::decide_claim(evidence_));
}

void server_request::on_silence()
{
    if (stage_ != stage::waiting || open_lookups_ == 0)
        return;
    auto assumed = evidence_;
    assumed.silent += open_lookups_;
    const auto decision = requests::decide_claim(assumed);
    // A peer that has not answered yet may still do so when the key cannot be decided without it.
    if (decision != requests::claim_decision::may_have_run)
        take_claim_decision(decision);
}

void server_request::take_claim_decision(requests::claim_decision it)
{
    switch (it) {
    case requests::claim_decision::run:
        claim_confirmed();
        return;
    case requests::claim_decision::ask_all:
        break;
    case requests::claim_decision::may_have_run:
        give_up_claim();
        return;
    }
    evidence_.scope = requests::claim_scope::all_members;
    evidence_.one_may_miss = may_miss_one(transport::read_wall_clock());
    auto others = server_.holders_->peers(nullptr, request_.first_sent);
    std::erase_if(
        others, [this](const auto& peer) { return std::find(asked_.begin(), asked_.end(), peer) != asked_.end(); });
    ask(others);
    if (open_lookups_ == 0)
        take_claim_decision(requests::decide_claim(evidence_));
    else if (silence_timer_.isSingleShot())
        silence_timer_.start(first_send_patience);
}

void server_request::give_up_claim()
{
    server_.parts_.counters.add("resends_unknown", 1);
    state_verdict(core::verdict::may_have_run);
    // This agent has not run the request. Keeping a record of it would forbid a later send that is safe again.
    end(core::verdict::not_run, std::nullopt);
}

void server_request::claim_confirmed()
{
    if (claimed_ && !server_.records_->confirm(request_.key)) {
        end_not_run();
        return;
    }
    stage_ = stage::queued;
    server_.offer(shared_from_this());
}

} // namespace ibisdyke::frontends
