#include "ibisdyke/core/version.h"

#include "ibisdyke/core/parse_number.h"

namespace ibisdyke::core {

std::optional<version> parse_version(std::string_view text)
{
    const auto dot = text.find('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    const auto term = parse_number(text.substr(0, dot));
    const auto index = parse_number(text.substr(dot + 1));
    if (!term || !index)
        return std::nullopt;
    return version{*term, *index};
}

} // namespace ibisdyke::core
