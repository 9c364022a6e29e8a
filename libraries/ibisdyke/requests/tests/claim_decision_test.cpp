#include "ibisdyke/requests/claim_decision.h"
#include "ibisdyke/requests/idempotency_records.h"
#include "ibisdyke/requests/wire/codec.h"

#include <catch2/catch.hpp>

#include <memory>
#include <random>
#include <set>

using namespace ibisdyke;
using namespace ibisdyke::requests;
using namespace std::chrono_literals;

namespace {

const core::wall_time start{core::milliseconds(1'700'000'000'000)};
const record_key key{core::neighbour("moto-salama"), "k"};

agent_instance create_instance(std::uint64_t agent, std::uint64_t incarnation = 1)
{
    return {core::upstream_id(agent), core::incarnation(incarnation)};
}

/// Returns the evidence for a resend at agent 1 of a service with `members` members. All peers have granted the claim
/// except the last `unanswered` ones, which have not answered.
claim_evidence create_evidence(std::uint64_t members, std::size_t unanswered)
{
    claim_evidence it;
    it.self = create_instance(1);
    it.scope = claim_scope::all_members;
    it.tolerates_missing_member = true;
    it.unanswered = unanswered;
    for (std::uint64_t id = 2; id <= members - unanswered; ++id)
        it.grants.push_back({create_instance(id), false, false, {}});
    return it;
}

/// A model of the agents of one service that receive sends of one key while messages are lost, delayed and reordered
/// and processes crash and restart. Each step is one randomly chosen event.
class claim_model {
public:
    claim_model(std::uint32_t seed, std::size_t agents)
        : random_(seed)
    {
        for (std::uint64_t id = 1; id <= agents; ++id) {
            agents_.push_back({create_instance(id), true, nullptr});
            agents_.back().records =
                std::make_unique<idempotency_records>(core::upstream_id(id), record_limits{}, std::nullopt);
        }
    }

    /// Returns how often the key ran.
    std::size_t run()
    {
        for (int i = 0; i < 80; ++i)
            step();
        return runs_;
    }

private:
    struct agent {
        agent_instance self;
        bool alive = true;
        std::unique_ptr<idempotency_records> records;
    };

    struct claim {
        /// Index of the agent that claims the key.
        std::size_t agent_index = 0;
        agent_instance claimant;
        claim_evidence evidence;
        /// Lookups without an answer yet.
        std::size_t open_lookups = 0;
        bool ended = false;
    };

    struct message {
        std::size_t claim_index = 0;
        /// Index of the agent that is asked.
        std::size_t peer_index = 0;
        /// Nothing in a query.
        std::optional<lookup_answer> answer;
    };

    /// Returns a random number less than n.
    std::size_t draw(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_); }

    void step()
    {
        const auto event = draw(20);
        if (event < 3)
            send();
        else if (event == 3)
            crash(agents_[draw(agents_.size())]);
        else if (event == 4)
            restart(agents_[draw(agents_.size())]);
        else if (!messages_.empty())
            deliver();
    }

    void send()
    {
        const auto index = draw(agents_.size());
        auto& it = agents_[index];
        if (!it.alive)
            return;
        claim next;
        next.agent_index = index;
        next.claimant = it.self;
        next.evidence.self = it.self;
        next.evidence.scope = claim_scope::all_members;
        next.evidence.tolerates_missing_member = true;
        next.evidence.own_claimants = *it.records->claimants(key, start);
        next.evidence.own_records_lost = it.records->is_lost_by_restart(start);
        // Any send may be the first one, because later sends can overtake it.
        if (!first_sent_ && next.evidence.own_claimants.empty() && draw(3) == 0) {
            first_sent_ = true;
            next.evidence.order = send_order::first;
        }
        const auto begun = next.evidence.order == send_order::first ? it.records->begin_first(key, start, start)
                                                                    : it.records->begin_recent(key, start, start);
        if (begun.outcome != begin_outcome::claimed)
            return;
        for (std::size_t i = 0; i < agents_.size(); ++i) {
            if (i != index)
                messages_.push_back({claims_.size(), i, std::nullopt});
        }
        next.open_lookups = agents_.size() - 1;
        claims_.push_back(next);
    }

    void crash(agent& it)
    {
        it.alive = false;
        it.records.reset();
    }

    void restart(agent& it)
    {
        if (it.alive)
            return;
        it.alive = true;
        it.self.incarnation = core::incarnation(it.self.incarnation.value() + 1);
        it.records = std::make_unique<idempotency_records>(it.self.agent, record_limits{}, start);
    }

    void deliver()
    {
        const auto n = draw(messages_.size());
        auto it = messages_[n];
        messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(n));
        const auto lost = draw(8) == 0;
        if (it.answer) {
            receive(claims_[it.claim_index], lost ? std::nullopt : it.answer);
            return;
        }
        auto& peer = agents_[it.peer_index];
        if (lost || !peer.alive) {
            receive(claims_[it.claim_index], std::nullopt);
            return;
        }
        auto& asking = claims_[it.claim_index];
        const auto result = peer.records->answer_peer({key, core::service_id(1), asking.claimant.agent, start, 1s,
                                                          asking.evidence.order, asking.claimant.incarnation},
            start);
        if (result.own_claim_lost)
            end_claims_of(peer);
        if (!result.answer) {
            receive(asking, std::nullopt);
            return;
        }
        it.answer = result.answer;
        it.answer->peer = peer.self;
        messages_.push_back(it);
    }

    void end_claims_of(const agent& it)
    {
        for (auto& other : claims_) {
            if (other.claimant == it.self)
                other.ended = true;
        }
    }

    void receive(claim& it, const std::optional<lookup_answer>& answer)
    {
        auto& owner = agents_[it.agent_index];
        if (it.ended || !owner.alive || owner.self != it.claimant)
            return;
        --it.open_lookups;
        if (!answer)
            ++it.evidence.unanswered;
        else if (answer->status == lookup_status::absent || answer->records_lost)
            it.evidence.grants.push_back({answer->peer, answer->records_lost, answer->claims_lost, answer->claimants});
        else
            abort_claim(it);
        if (it.ended || it.open_lookups > 0)
            return;
        if (decide_claim(it.evidence) != claim_decision::run) {
            abort_claim(it);
            return;
        }
        it.ended = true;
        if (!owner.records->confirm(key))
            return;
        ++runs_;
        if (draw(2) == 0)
            owner.records->end(key, core::verdict::answered, stored_answer{});
    }

    void abort_claim(claim& it)
    {
        it.ended = true;
        agents_[it.agent_index].records->end(key, core::verdict::not_run, std::nullopt);
    }

    std::mt19937 random_;
    std::vector<agent> agents_;
    std::vector<claim> claims_;
    std::vector<message> messages_;
    std::size_t runs_ = 0;
    bool first_sent_ = false;
};

} // namespace

// If every member had to answer, the crash of one agent would cause every key to be refused for seconds.
TEST_CASE("a resend runs without one member if no other member knows a claim by it")
{
    CHECK(decide_claim(create_evidence(3, 0)) == claim_decision::run);
    CHECK(decide_claim(create_evidence(3, 1)) == claim_decision::run);
    CHECK(decide_claim(create_evidence(5, 1)) == claim_decision::run);
    CHECK(decide_claim(create_evidence(5, 2)) == claim_decision::may_have_run);
    // With two members, the missing member may have run the key alone.
    CHECK(decide_claim(create_evidence(2, 1)) == claim_decision::may_have_run);
    auto it = create_evidence(4, 1);
    it.scope = claim_scope::candidates;
    CHECK(decide_claim(it) == claim_decision::ask_all);
    it.tolerates_missing_member = false;
    CHECK(decide_claim(it) == claim_decision::may_have_run);
}

// A missing member that has claimed the key may have run it, so a run without that member could be the second one.
TEST_CASE("a claim by a process that has not answered prevents a run")
{
    auto it = create_evidence(3, 1);
    it.grants.front().claimants = {create_instance(3)};
    CHECK(decide_claim(it) == claim_decision::may_have_run);
    it.order = send_order::first;
    CHECK(decide_claim(it) == claim_decision::may_have_run);
    auto own = create_evidence(3, 1);
    own.own_claimants = {create_instance(3)};
    CHECK(decide_claim(own) == claim_decision::may_have_run);
    // The process of a claim that reports that it holds no record has not run the key.
    auto resolved = create_evidence(3, 0);
    resolved.grants.front().claimants = {create_instance(1), create_instance(3)};
    CHECK(decide_claim(resolved) == claim_decision::run);
    // An earlier process of the same agent may have run the key.
    resolved.grants.front().claimants = {create_instance(3, 7)};
    CHECK(decide_claim(resolved) == claim_decision::may_have_run);
    resolved.grants.front().claimants = {create_instance(1, 7)};
    CHECK(decide_claim(resolved) == claim_decision::may_have_run);
}

TEST_CASE("a member that left or lost its records counts as a missing member")
{
    auto left = create_evidence(3, 0);
    left.departed = 1;
    CHECK(decide_claim(left) == claim_decision::run);
    left.holder_departed = true;
    CHECK(decide_claim(left) == claim_decision::run);
    left.departed = 2;
    CHECK(decide_claim(left) == claim_decision::may_have_run);
    auto lost = create_evidence(3, 0);
    lost.grants.front().records_lost = true;
    CHECK(decide_claim(lost) == claim_decision::run);
    lost.own_records_lost = true;
    CHECK(decide_claim(lost) == claim_decision::may_have_run);
    // When all members answer, their records suffice. When one member is missing, the claims of the others are needed
    // too.
    auto lost_claims = create_evidence(3, 0);
    lost_claims.grants.front().claims_lost = true;
    CHECK(decide_claim(lost_claims) == claim_decision::run);
    auto missing_and_lost_claims = create_evidence(3, 1);
    missing_and_lost_claims.grants.front().claims_lost = true;
    CHECK(decide_claim(missing_and_lost_claims) == claim_decision::may_have_run);
}

TEST_CASE("a first send needs two members that have lost nothing")
{
    auto it = create_evidence(3, 1);
    it.order = send_order::first;
    it.tolerates_missing_member = false;
    it.scope = claim_scope::candidates;
    CHECK(decide_claim(it) == claim_decision::run);
    it.own_records_lost = true;
    CHECK(decide_claim(it) == claim_decision::may_have_run);
    // With two members, one is enough, because a resend never runs while a member has not answered.
    auto two = create_evidence(2, 1);
    two.order = send_order::first;
    CHECK(decide_claim(two) == claim_decision::run);
    two.own_records_lost = true;
    CHECK(decide_claim(two) == claim_decision::may_have_run);
}

// Some order of messages, losses, crashes and restarts could let two agents run the same key. The test checks random
// schedules.
TEST_CASE("no schedule of sends, losses and crashes runs a key twice")
{
    std::size_t ran = 0;
    for (const std::size_t agents : {2U, 3U, 4U, 5U}) {
        for (std::uint32_t seed = 0; seed < 20'000; ++seed) {
            const auto runs = claim_model(seed, agents).run();
            ran += runs;
            if (runs > 1)
                FAIL("seed " << seed << " with " << agents << " agents ran the key " << runs << " times");
        }
    }
    // Checks that enough keys run: if nothing ran, the test would pass without testing anything.
    CHECK(ran > 20'000);
}

TEST_CASE("encoding and decoding preserves claims")
{
    lookup_answer it{lookup_status::unknown, std::nullopt, create_instance(4, 9), true, true,
        {create_instance(1), create_instance(2, 3)}};
    CHECK(decode_lookup_answer(encode(it)) == it);
    lookup_query query{
        key, core::service_id(1), core::upstream_id(2), start, 1s, send_order::first, core::incarnation(8)};
    CHECK(decode_lookup_query(encode(query)) == query);
}
