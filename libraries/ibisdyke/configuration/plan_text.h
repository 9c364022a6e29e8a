#pragma once

#include "ibisdyke/core/time.h"

#include <cstddef>
#include <sstream>
#include <string>

/// Texts that the checks of a route plan share: paths of fields, and values with their units.
namespace ibisdyke::configuration::detail {

/// Returns for example "routes[2].request_timeout".
inline std::string field_path(const std::string& list, std::size_t i, const std::string& field)
{
    return list + "[" + std::to_string(i) + "]." + field;
}

inline std::string time_text(core::milliseconds it)
{
    return std::to_string(it.count()) + " ms";
}

inline std::string rate_text(double flows_per_second)
{
    std::ostringstream result;
    result << flows_per_second << " flows/s";
    return result.str();
}

} // namespace ibisdyke::configuration::detail
