#include "measure/operators/config_tracker.h"

#include "ibisdyke/core/error.h"
#include "measure/support/clock.h"

#include <algorithm>
#include <sstream>

namespace ibisdyke::measure {

void config_tracker::add_accepted(const core::version& at, core::time_point now)
{
    pending_.push_back({at, now});
}

void config_tracker::observe(const std::string& process, int run, const core::version& applied)
{
    auto& last = latest_[process];
    if (last.run == run && applied < last.applied)
        reverts_.push_back(process + " reverted from version " + to_string(last.applied) + " to " + to_string(applied)
            + " in its run " + std::to_string(run));
    last = {run, applied};
}

void config_tracker::check_pending(const std::set<std::string>& live, core::time_point now)
{
    std::vector<accepted_change> left;
    for (const auto& it : pending_) {
        if (in_effect(it, live))
            completed_ms_.push_back(milliseconds_between(it.accepted_at, now));
        else
            left.push_back(it);
    }
    pending_ = left;
}

std::vector<std::int64_t> config_tracker::times_ms(core::time_point now) const
{
    auto result = completed_ms_;
    for (const auto& it : pending_)
        result.push_back(milliseconds_between(it.accepted_at, now));
    std::sort(result.begin(), result.end());
    return result;
}

std::vector<std::string> config_tracker::lagging_processes(const std::set<std::string>& live) const
{
    std::vector<std::string> result;
    for (const auto& name : live) {
        const auto found = latest_.find(name);
        const auto misses = [&](const auto& it) { return found == latest_.end() || found->second.applied < it.at; };
        if (std::any_of(pending_.begin(), pending_.end(), misses))
            result.push_back(name);
    }
    return result;
}

bool config_tracker::in_effect(const accepted_change& it, const std::set<std::string>& live) const
{
    return std::all_of(live.begin(), live.end(), [&](const auto& name) {
        const auto found = latest_.find(name);
        return found != latest_.end() && found->second.applied >= it.at;
    });
}

core::version parse_version(const std::string& text)
{
    std::istringstream fields(text);
    core::version it;
    char dot = 0;
    if (!(fields >> it.term >> dot >> it.index) || dot != '.')
        throw core::invalid_input("version", text, "TERM.INDEX");
    return it;
}

} // namespace ibisdyke::measure
