#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace ibisdyke::core {

/// An IPv4 address and a port, both in host byte order.
struct endpoint {
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    /// Parses "a.b.c.d:port". Throws invalid_input for any other form.
    static endpoint create(std::string_view text);

    friend bool operator==(const endpoint&, const endpoint&) = default;
    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Returns "a.b.c.d:port".
std::string to_string(const endpoint& it);

/// Returns "a.b.c.d" for an address in host byte order.
std::string address_to_string(std::uint32_t address);

} // namespace ibisdyke::core
