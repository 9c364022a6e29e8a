#include "ibisdyke/requests/deadline.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace ibisdyke::requests {

namespace {

std::optional<std::int64_t> parse_whole_number(std::string_view text)
{
    std::int64_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc{} || result.ptr != end || value < 0)
        return std::nullopt;
    return value;
}

} // namespace

std::optional<core::milliseconds> parse_time_remaining(std::string_view text)
{
    const auto value = parse_whole_number(text);
    if (!value || *value < 1 || *value > max_time_remaining.count())
        return std::nullopt;
    return core::milliseconds(*value);
}

core::milliseconds time_remaining(core::time_point deadline, core::time_point now)
{
    return std::max(std::chrono::floor<core::milliseconds>(deadline - now), core::milliseconds::zero());
}

std::optional<core::wall_time> parse_wall_time(std::string_view text)
{
    const auto value = parse_whole_number(text);
    if (!value)
        return std::nullopt;
    return core::wall_time(core::milliseconds(*value));
}

} // namespace ibisdyke::requests
