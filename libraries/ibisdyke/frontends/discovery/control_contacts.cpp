#include "ibisdyke/frontends/discovery/control_contacts.h"

#include <algorithm>

namespace ibisdyke::frontends {

void control_contacts::set_listed(std::vector<core::endpoint> listed)
{
    listed_ = std::move(listed);
    publish();
}

void control_contacts::take(const membership::membership_state& state)
{
    members_.clear();
    for (const auto& [id, endpoint] : state.controls)
        members_.push_back(endpoint);
    publish();
}

void control_contacts::publish()
{
    // Members come first: they are known to the group itself.
    auto all = members_;
    for (const auto& it : listed_) {
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
