#include "ibisdyke/requests/attempt_decision.h"
#include "ibisdyke/requests/attempt_selector.h"
#include "ibisdyke/requests/deadline.h"
#include "ibisdyke/requests/retry_budget.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace ibisdyke::requests;
using namespace std::chrono_literals;

namespace {

const core::wall_time wall_start{core::milliseconds(1'700'000'000'000)};
const core::time_point start{1'000s};

routing::chain create_chain(std::size_t candidates, std::size_t others)
{
    routing::chain it;
    for (std::uint64_t id = 1; id <= candidates + others; ++id)
        it.members.push_back({core::upstream_id(id), {}, {}, core::incarnation(id)});
    it.candidates = candidates;
    return it;
}

} // namespace

TEST_CASE("methods are idempotent as defined by HTTP, and unknown methods are not")
{
    for (const auto* const it : {"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
        CHECK(classify_method(it) == idempotence::idempotent);
    for (const auto* const it : {"POST", "PATCH", "get", "", "LOCK"})
        CHECK(classify_method(it) == idempotence::not_idempotent);
}

// A wrong verdict `not_run` leads to a retry and a second run. The test checks the verdict for each kind of evidence.
TEST_CASE("an attempt has not run only when nothing contradicts the refusal")
{
    using ending = attempt_ending;
    CHECK(judge_attempt({ending::refused, false, false, {}, false}) == core::verdict::not_run);
    CHECK(judge_attempt({ending::completed, false, false, core::verdict::not_run, false}) == core::verdict::not_run);
    CHECK(judge_attempt({ending::completed, true, true, {}, false}) == core::verdict::answered);
    // A reset after the complete answer does not change the verdict.
    CHECK(judge_attempt({ending::reset, true, true, {}, false}) == core::verdict::answered);
    const std::vector<attempt_evidence> uncertain{
        {ending::refused, true, false, {}, false},
        {ending::refused, false, false, {}, false, true},
        {ending::completed, true, false, {}, false},
        {ending::completed, false, false, {}, false},
        {ending::reset, false, false, {}, false},
        {ending::connection_lost, false, false, {}, false},
        {ending::connection_lost, true, false, {}, false},
        {ending::abandoned, false, false, {}, false},
        {ending::completed, false, false, core::verdict::may_have_run, false},
        {ending::completed, false, false, core::verdict::not_run, true},
        {ending::completed, true, true, {}, true},
    };
    for (const auto& it : uncertain)
        CHECK(judge_attempt(it) == core::verdict::may_have_run);
}

// Retrying a non-idempotent request that may have run would run it twice. The test checks all combinations of verdict
// and request state.
TEST_CASE("a request is sent again only when that is safe")
{
    for (const auto attempt : {core::verdict::answered, core::verdict::not_run, core::verdict::may_have_run}) {
        for (int bits = 0; bits < 64; ++bits) {
            const auto bit = [bits](int n) { return ((bits >> n) & 1) != 0; };
            const request_progress it{
                bit(0) ? idempotence::idempotent : idempotence::not_idempotent, bit(1), bit(2), bit(3), bit(4), bit(5)};
            const auto step = decide_next(it, attempt);
            if (step != next_step::retry)
                continue;
            CHECK(attempt != core::verdict::answered);
            CHECK((attempt == core::verdict::not_run || it.kind == idempotence::idempotent));
            CHECK(it.replayable);
            CHECK(!it.answer_relayed);
            CHECK(!it.cancelled);
            CHECK(!it.deadline_passed);
        }
    }
}

TEST_CASE("not run is reported only when no attempt may have run")
{
    request_progress it;
    it.replayable = false;
    CHECK(decide_next(it, core::verdict::not_run) == next_step::report_not_run);
    CHECK(decide_next(it, core::verdict::may_have_run) == next_step::report_may_have_run);
    it.may_have_run = true;
    CHECK(decide_next(it, core::verdict::not_run) == next_step::report_may_have_run);
    it.answer_relayed = true;
    CHECK(decide_next(it, core::verdict::may_have_run) == next_step::reset_caller);
    it.cancelled = true;
    CHECK(decide_next(it, core::verdict::answered) == next_step::drop);
}

TEST_CASE("the chain-order selector tries the candidates in order, each once")
{
    const auto chain = create_chain(2, 2);
    chain_order_selector selector;
    std::vector<core::upstream_id> tried;
    CHECK(selector.select({chain, tried}) == 0U);
    tried.emplace_back(1);
    CHECK(selector.select({chain, tried}) == 1U);
    tried.emplace_back(2);
    // Members after the candidates hold older flows and receive no new requests.
    CHECK(!selector.select({chain, tried}));
    CHECK(!selector.select({create_chain(0, 0), {}}));
}

// If all new keys went to their owners, some slots would stay idle where callers choose the keys: with 11 hosts, the
// load of the busiest owner is 1.225 times the mean.
TEST_CASE("the chain-order selector sends a new key to the candidate with the fewest open attempts")
{
    const auto chain = create_chain(3, 1);
    chain_order_selector selector;
    CHECK(selector.select({chain, {}, placement::any_candidate}) == 0U);
    selector.on_started(core::upstream_id(1));
    CHECK(selector.select({chain, {}, placement::any_candidate}) == 1U);
    CHECK(selector.select({chain, {}, placement::owner_first}) == 0U);
    selector.on_started(core::upstream_id(2));
    CHECK(selector.select({chain, {}, placement::any_candidate}) == 2U);
    CHECK(selector.select({chain, {core::upstream_id(3)}, placement::any_candidate}) == 0U);
    selector.on_started(core::upstream_id(3));
    // The fourth member is not a candidate.
    CHECK(selector.select({chain, {}, placement::any_candidate}) == 0U);
}

TEST_CASE("only a new key may go to any candidate")
{
    CHECK(choose_placement(send_order::first, std::nullopt, wall_start) == placement::any_candidate);
    CHECK(choose_placement(send_order::unknown, std::nullopt, wall_start) == placement::owner_first);
    CHECK(choose_placement(send_order::unknown, wall_start - 500ms, wall_start) == placement::any_candidate);
    CHECK(choose_placement(send_order::unknown, wall_start - 501ms, wall_start) == placement::owner_first);
}

TEST_CASE("the baselines choose in rotation and by reported load")
{
    const auto chain = create_chain(3, 0);
    round_robin_selector by_rotation;
    CHECK(by_rotation.select({chain, {}}) == 0U);
    CHECK(by_rotation.select({chain, {}}) == 1U);
    CHECK(by_rotation.select({chain, {core::upstream_id(3)}}) == 0U);
    least_reported_load_selector by_load;
    by_load.on_load_report(core::upstream_id(1), 5);
    by_load.on_load_report(core::upstream_id(2), 1);
    by_load.on_load_report(core::upstream_id(3), 2);
    CHECK(by_load.select({chain, {}}) == 1U);
    CHECK(by_load.select({chain, {core::upstream_id(2)}}) == 2U);
}

// Retries without a limit would multiply an overload.
TEST_CASE("the retry budget is a share of recent requests plus one per second")
{
    retry_budget budget(0.1);
    for (int i = 0; i < 200; ++i)
        budget.on_request(start);
    int taken = 0;
    while (budget.take(start))
        ++taken;
    CHECK(taken == 30);
    // Requests and retries of the same second leave the window at the same time.
    CHECK(!budget.take(start + 9s));
    int later = 0;
    while (budget.take(start + 10s))
        ++later;
    CHECK(later == 10);
}

TEST_CASE("deadlines are parsed strictly, and the time remaining is rounded down")
{
    CHECK(parse_time_remaining("10000") == 10s);
    for (const auto* const it : {"", "0", "-5", "10s", "1e3", "3600001", "99999999999999999999"})
        CHECK(!parse_time_remaining(it));
    CHECK(time_remaining(start + 1500us, start) == 1ms);
    CHECK(time_remaining(start, start + 1s) == 0ms);
    CHECK(parse_wall_time("1700000000000") == core::wall_time(core::milliseconds(1'700'000'000'000)));
    CHECK(!parse_wall_time("now"));
}
