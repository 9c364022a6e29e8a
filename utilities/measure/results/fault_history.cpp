#include "measure/results/fault_history.h"

#include <algorithm>

namespace ibisdyke::measure {

void fault_history::begin_domain_absence(const std::string& domain, core::time_point now)
{
    absences_[domain].push_back({now, std::nullopt});
}

void fault_history::end_domain_absence(const std::string& domain, core::time_point now)
{
    auto& list = absences_[domain];
    if (!list.empty() && !list.back().to)
        list.back().to = now;
}

bool fault_history::explains_early_end(
    const std::string& upstream, core::time_point opened_at, core::time_point ended_at) const
{
    const auto exits = exits_.find(upstream);
    if (exits != exits_.end()) {
        const auto within = [&](const auto& it) { return it >= opened_at && it <= ended_at; };
        if (std::any_of(exits->second.begin(), exits->second.end(), within))
            return true;
    }
    const auto domain = domain_of_.find(upstream);
    const auto absent = domain == domain_of_.end() ? absences_.end() : absences_.find(domain->second);
    if (absent == absences_.end())
        return false;
    return std::any_of(absent->second.begin(), absent->second.end(),
        [&](const auto& it) { return it.from <= ended_at && (!it.to || *it.to >= opened_at); });
}

} // namespace ibisdyke::measure
