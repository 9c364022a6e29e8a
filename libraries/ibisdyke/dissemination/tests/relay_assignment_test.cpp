#include "ibisdyke/dissemination/relay_assignment.h"

#include <catch2/catch.hpp>

#include <deque>
#include <map>

using namespace ibisdyke;
using namespace ibisdyke::dissemination;

namespace {

core::endpoint relay_at(std::uint32_t n)
{
    return {n, 7100};
}

subscribe_request request_of(std::optional<core::endpoint> relay)
{
    subscribe_request it;
    it.relay = relay;
    return it;
}

struct process {
    std::vector<subscriber> subscribers;
};

/// A tree of processes in which a subscriber follows redirects from the root (endpoint 0).
class relay_tree {
public:
    void add(std::uint32_t id, bool is_relay)
    {
        const auto relay = is_relay ? std::optional(relay_at(id)) : std::nullopt;
        subscribe(id, relay, relay_at(0));
    }

    std::size_t largest() const
    {
        std::size_t result = 0;
        for (const auto& [endpoint, it] : processes_)
            result = std::max(result, it.subscribers.size());
        return result;
    }

    std::size_t depth(const core::endpoint& from = relay_at(0)) const
    {
        std::size_t result = 0;
        const auto found = processes_.find(from);
        if (found == processes_.end())
            return 0;
        for (const auto& it : found->second.subscribers)
            result = std::max(result, 1 + (it.relay ? depth(*it.relay) : 0));
        return result;
    }

    std::size_t size() const
    {
        std::size_t result = 0;
        for (const auto& [endpoint, it] : processes_)
            result += it.subscribers.size();
        return result;
    }

private:
    void subscribe(std::uint64_t id, const std::optional<core::endpoint>& relay, core::endpoint at)
    {
        for (int hops = 0; hops < 20; ++hops) {
            auto& subscribers = processes_[at].subscribers;
            const auto decision = assign(request_of(relay), subscribers, default_max_subscribers);
            if (decision.redirect_to) {
                for (auto& it : subscribers) {
                    if (it.relay == decision.redirect_to)
                        count_redirect(request_of(relay), it);
                }
                at = *decision.redirect_to;
                continue;
            }
            std::optional<subscriber> moved;
            if (decision.displaced_subscriber) {
                const auto it = std::find_if(subscribers.begin(), subscribers.end(),
                    [&](const auto& other) { return other.id == *decision.displaced_subscriber; });
                moved = *it;
                subscribers.erase(it);
            }
            subscribers.push_back({id, relay, 0, 0});
            if (moved)
                subscribe(moved->id, moved->relay, *relay);
            return;
        }
        FAIL("a subscriber was redirected 20 times without being served");
    }

    std::map<core::endpoint, process> processes_;
};

} // namespace

TEST_CASE("a process serves its subscribers itself up to the limit")
{
    std::vector<subscriber> subscribers(11);
    CHECK(assign(request_of(std::nullopt), subscribers, 12) == assignment{});
}

TEST_CASE("a subscriber beyond the limit is redirected to the relay with the fewest redirects")
{
    std::vector<subscriber> subscribers{{1, relay_at(1), 0, 3}, {2, relay_at(2), 7, 1}, {3, std::nullopt, 0, 0}};
    CHECK(assign(request_of(std::nullopt), subscribers, 3).redirect_to == relay_at(2));
    auto request = request_of(std::nullopt);
    request.avoid = {relay_at(2)};
    CHECK(assign(request, subscribers, 3).redirect_to == relay_at(1));
}

// A process at its limit that has only agents as subscribers has no relay to redirect to. It must serve further agents
// itself.
TEST_CASE("without a relay to redirect to, a subscriber is served beyond the limit")
{
    const std::vector<subscriber> leaves{{1, std::nullopt, 0, 0}, {2, std::nullopt, 0, 0}};
    CHECK(assign(request_of(std::nullopt), leaves, 2) == assignment{});
    auto request = request_of(std::nullopt);
    request.avoid = {relay_at(1)};
    CHECK(assign(request, {{1, relay_at(1), 0, 0}}, 1) == assignment{});
}

// If the root served only agents at its limit, it could not redirect anyone and the tree could not grow.
TEST_CASE("a relay takes the place of a subscriber that is not a relay")
{
    const std::vector<subscriber> leaves{{1, std::nullopt, 0, 0}, {2, std::nullopt, 0, 0}};
    CHECK(assign(request_of(relay_at(9)), leaves, 2) == assignment{std::nullopt, 2});
}

// A relay that subscribed to itself would never get a new state.
TEST_CASE("a relay is not redirected to itself")
{
    const std::vector<subscriber> subscribers{{1, relay_at(1), 0, 0}, {2, relay_at(2), 5, 0}};
    CHECK(assign(request_of(relay_at(1)), subscribers, 2).redirect_to == relay_at(2));
}

// At the design size, the tree must be neither too deep nor too wide. A relay that has only agents as subscribers
// serves a few more than the limit.
TEST_CASE("1,400 balancers and 9,300 agents fit under one control process")
{
    relay_tree it;
    std::uint32_t balancers = 0;
    for (std::uint32_t i = 1; i <= 10'700; ++i) {
        const bool is_balancer = i % 8 == 0 || i > 10'628;
        it.add(i, is_balancer);
        balancers += is_balancer ? 1 : 0;
    }
    CHECK(it.size() == 10'700);
    CHECK(balancers == 1'400);
    CHECK(it.largest() <= default_max_subscribers + 2);
    CHECK(it.depth() <= 5);
}
