#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace ibisdyke::benchmarks {

/// Returns the upper median. `values` must not be empty.
inline double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

/// Returns the value below which `share` (0 to 1) of the values lie, or -1 if there are none.
inline double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return -1;
    std::sort(values.begin(), values.end());
    return values.at(static_cast<std::size_t>(share * static_cast<double>(values.size() - 1)));
}

} // namespace ibisdyke::benchmarks
