#pragma once

#include "ibisdyke/core/time.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace ibisdyke::measure {

/// Records the times at which any upstream executed each request key.
class execution_ledger {
public:
    void add(const std::string& key, core::time_point at) { times_[key].push_back(at); }

    std::size_t count(const std::string& key) const
    {
        const auto found = times_.find(key);
        return found == times_.end() ? 0 : found->second.size();
    }

    /// Returns whether any execution of the key began before `end`.
    bool ran_before(const std::string& key, core::time_point end) const
    {
        const auto found = times_.find(key);
        if (found == times_.end())
            return false;
        return std::any_of(found->second.begin(), found->second.end(), [&](const auto& it) { return it < end; });
    }

private:
    std::map<std::string, std::vector<core::time_point>> times_;
};

} // namespace ibisdyke::measure
