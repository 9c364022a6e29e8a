#include "ibisdyke/frontends/discovery/control_endpoints.h"

#include <algorithm>

namespace ibisdyke::frontends {

void control_endpoints::set_configured(std::vector<core::endpoint> listed)
{
    configured_ = std::move(listed);
    publish();
}

void control_endpoints::update(const membership::membership_state& state)
{
    members_.clear();
    for (const auto& [id, endpoint] : state.controls)
        members_.push_back(endpoint);
    publish();
}

void control_endpoints::publish()
{
    // Members come first: they are known to the group itself.
    auto all = members_;
    for (const auto& it : configured_) {
        if (std::find(all.begin(), all.end(), it) == all.end())
            all.push_back(it);
    }
    if (all == published_)
        return;
    published_ = all;
    heartbeats_.set_controls(all);
    subscriber_.set_controls(std::move(all));
}

} // namespace ibisdyke::frontends
