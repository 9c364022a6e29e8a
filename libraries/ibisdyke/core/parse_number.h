#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace ibisdyke::core {

/// Parses an unsigned decimal integer. Returns nothing when the text is empty, contains anything but digits (such as a
/// sign or a space), or when the number exceeds 2^64 - 1.
std::optional<std::uint64_t> parse_number(std::string_view text);

} // namespace ibisdyke::core
