#include "ibisdyke/dissemination/source_selector.h"

#include <catch2/catch.hpp>

#include <set>

using namespace ibisdyke;
using namespace ibisdyke::dissemination;
using namespace std::chrono_literals;

namespace {

const std::vector<core::endpoint> controls{{1, 1}, {2, 1}, {3, 1}};
const std::vector<core::endpoint> peers{{11, 1}, {12, 1}};
constexpr core::time_point now{100s};

} // namespace

TEST_CASE("control processes come before relays and peers")
{
    source_selector sources(controls, peers, std::nullopt, 1);
    std::set<core::endpoint> first;
    for (int i = 0; i < 3; ++i)
        first.insert(*sources.next(now));
    CHECK(first == std::set<core::endpoint>(controls.begin(), controls.end()));
    const auto fourth = *sources.next(now);
    CHECK(std::find(peers.begin(), peers.end(), fourth) != peers.end());
}

// A subscriber must return to control processes that have recovered, instead of trying only relays and peers.
TEST_CASE("control processes are tried again after three peers")
{
    source_selector sources(controls, peers, std::nullopt, 0);
    for (int i = 0; i < 6; ++i)
        sources.next(now);
    CHECK(sources.next(now) == controls[0]);
}

// A new balancer must get a routing table even if all control processes are lost.
TEST_CASE("without control processes a peer is chosen, but never the subscriber's own endpoint")
{
    source_selector sources({}, {{11, 1}, {12, 1}}, core::endpoint{11, 1}, 0);
    sources.set_relays({{11, 1}});
    for (int i = 0; i < 5; ++i)
        CHECK(sources.next(now) == core::endpoint{12, 1});
    CHECK_FALSE(source_selector({}, {}, std::nullopt, 0).next(now));
}

TEST_CASE("a redirect is followed once")
{
    source_selector sources(controls, {}, core::endpoint{9, 9}, 0);
    sources.on_redirect({20, 1});
    CHECK(sources.next(now) == core::endpoint{20, 1});
    CHECK(sources.next(now) == controls[0]);
    sources.on_redirect({9, 9});
    CHECK(sources.next(now) == controls[1]);
}

// A subscriber must not be redirected repeatedly to a relay that does not answer.
TEST_CASE("a relay that failed is named in requests for 10 s")
{
    source_selector sources(controls, {}, std::nullopt, 0);
    sources.on_failure({20, 1}, now);
    sources.on_failure(controls[0], now);
    CHECK(sources.avoided(now + 9s) == std::vector<core::endpoint>{{20, 1}});
    CHECK(sources.avoided(now + 10s).empty());
    CHECK(sources.next(now) == controls[1]);
}

TEST_CASE("control processes are tried even if all of them failed recently")
{
    source_selector sources(controls, {}, std::nullopt, 0);
    for (const auto& it : controls)
        sources.on_failure(it, now);
    std::set<core::endpoint> tried;
    for (int i = 0; i < 3; ++i)
        tried.insert(*sources.next(now));
    CHECK(tried.size() == 3);
}
