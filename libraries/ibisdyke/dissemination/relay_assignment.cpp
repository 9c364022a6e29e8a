#include "ibisdyke/dissemination/relay_assignment.h"

#include <algorithm>

namespace ibisdyke::dissemination {

void count_redirect(const subscribe_request& request, subscriber& target)
{
    ++(request.relay ? target.redirected_relays : target.redirected_leaves);
}

assignment assign(
    const subscribe_request& request, const std::vector<subscriber>& subscribers, std::size_t max_subscribers)
{
    if (subscribers.size() < max_subscribers)
        return {};
    if (request.relay) {
        const auto leaf = std::find_if(
            subscribers.rbegin(), subscribers.rend(), [](const auto& it) { return !it.relay.has_value(); });
        if (leaf != subscribers.rend())
            return {std::nullopt, leaf->id};
    }
    const auto redirected_count = [&](const subscriber& it) {
        return request.relay ? it.redirected_relays : it.redirected_leaves;
    };
    const subscriber* best = nullptr;
    for (const auto& it : subscribers) {
        if (!it.relay || it.relay == request.relay)
            continue;
        if (std::find(request.avoid.begin(), request.avoid.end(), *it.relay) != request.avoid.end())
            continue;
        if (best == nullptr || redirected_count(it) < redirected_count(*best))
            best = &it;
    }
    if (best == nullptr)
        return {};
    return {best->relay, std::nullopt};
}

} // namespace ibisdyke::dissemination
