#include "ibisdyke/frontends/discovery/control_endpoints.h"

#include <algorithm>

namespace ibisdyke::frontends {

void control_endpoints::set_configured(std::vector<core::endpoint> configured)
{
    configured_ = std::move(configured);
    apply_endpoints();
}

void control_endpoints::set_members(const membership::membership_state& state)
{
    members_.clear();
    for (const auto& [id, endpoint] : state.controls)
        members_.push_back(endpoint);
    apply_endpoints();
}

void control_endpoints::apply_endpoints()
{
    // Members come first because the control group itself reports them.
    auto all = members_;
    for (const auto& it : configured_) {
        if (std::find(all.begin(), all.end(), it) == all.end())
            all.push_back(it);
    }
    if (all == endpoints_)
        return;
    endpoints_ = all;
    heartbeats_.set_controls(all);
    subscriber_.set_controls(std::move(all));
}

} // namespace ibisdyke::frontends
