#include "measure/proxy/link_table.h"

#include <algorithm>

namespace ibisdyke::measure {

link_table::link_table(
    std::map<std::string, std::string> domain_of, core::milliseconds domain_delay, core::milliseconds client_delay)
    : domain_of_(std::move(domain_of))
    , domain_delay_(domain_delay)
    , client_delay_(client_delay)
{
}

void link_table::partition(const std::vector<std::string>& a, const std::vector<std::string>& b)
{
    for (const auto& it : links(a, b))
        cut_.insert(it);
}

void link_table::heal(const std::vector<std::string>& a, const std::vector<std::string>& b)
{
    if (a.empty() && b.empty())
        cut_.clear();
    for (const auto& it : links(a, b))
        cut_.erase(it);
}

void link_table::set_conditions(
    const std::vector<std::string>& a, const std::vector<std::string>& b, const link_conditions& conditions)
{
    for (const auto& it : links(a, b))
        conditions_[it] = conditions;
}

bool link_table::is_cut(const std::string& from, const std::string& to) const
{
    return cut_.contains({from, to});
}

link_conditions link_table::conditions(const std::string& from, const std::string& to) const
{
    const auto found = conditions_.find({from, to});
    auto result = found == conditions_.end() ? link_conditions{} : found->second;
    result.delay += base_delay(from, to);
    return result;
}

std::vector<link_table::link> link_table::links(
    const std::vector<std::string>& a, const std::vector<std::string>& b) const
{
    const auto others = [this](const std::vector<std::string>& named) {
        std::vector<std::string> result;
        for (const auto& [name, domain] : domain_of_) {
            if (std::find(named.begin(), named.end(), name) == named.end())
                result.push_back(name);
        }
        return result;
    };
    std::vector<link> result;
    for (const auto& x : a.empty() ? others(b) : a) {
        for (const auto& y : b.empty() ? others(a) : b) {
            result.emplace_back(x, y);
            result.emplace_back(y, x);
        }
    }
    return result;
}

core::milliseconds link_table::base_delay(const std::string& from, const std::string& to) const
{
    if (from.empty() || to.empty())
        return core::milliseconds{0};
    const auto x = domain_of_.find(from);
    const auto y = domain_of_.find(to);
    if (x == domain_of_.end() || y == domain_of_.end())
        return client_delay_;
    return x->second == y->second ? core::milliseconds{0} : domain_delay_;
}

} // namespace ibisdyke::measure
