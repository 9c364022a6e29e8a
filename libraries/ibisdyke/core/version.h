#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ibisdyke::core {

/// The version of the system state, given by the term and index of the last log record that the state contains.
/// Versions are totally ordered. A default-constructed version is older than all others.
struct version {
    std::uint64_t term = 0;
    std::uint64_t index = 0;

    friend bool operator==(const version&, const version&) = default;
    friend auto operator<=>(const version&, const version&) = default;
};

/// Returns "term.index".
inline std::string to_string(const version& it)
{
    return std::to_string(it.term) + "." + std::to_string(it.index);
}

/// Parses "term.index"; returns nothing for any other text.
std::optional<version> parse_version(std::string_view text);

} // namespace ibisdyke::core
