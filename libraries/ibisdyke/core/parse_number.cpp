#include "ibisdyke/core/parse_number.h"

#include <charconv>
#include <system_error>

namespace ibisdyke::core {

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, value);
    if (ec != std::errc{} || rest != end)
        return std::nullopt;
    return value;
}

} // namespace ibisdyke::core
