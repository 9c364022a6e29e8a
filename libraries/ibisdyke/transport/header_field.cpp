#include "ibisdyke/transport/header_field.h"

#include <algorithm>

namespace ibisdyke::transport {

std::optional<std::string_view> find_header(const header_list& headers, std::string_view name)
{
    const auto it =
        std::find_if(headers.begin(), headers.end(), [name](const header_field& field) { return field.name == name; });
    if (it == headers.end())
        return std::nullopt;
    return it->value;
}

} // namespace ibisdyke::transport
