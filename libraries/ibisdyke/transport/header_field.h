#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibisdyke::transport {

/// An HTTP header field. The name is in lower case, as HTTP/2 requires.
struct header_field {
    std::string name;
    std::string value;

    friend bool operator==(const header_field&, const header_field&) = default;
};

using header_list = std::vector<header_field>;

/// Returns the value of the first field with the given name, or std::nullopt.
std::optional<std::string_view> find_header(const header_list& headers, std::string_view name);

} // namespace ibisdyke::transport
