#include "ibisdyke/core/endpoint.h"

#include "ibisdyke/core/error.h"

#include <charconv>
#include <limits>

namespace ibisdyke::core {

namespace {

constexpr int octets_per_address = 4;
constexpr unsigned bits_per_octet = 8;
constexpr unsigned max_octet = 255;

/// Reads a decimal number of at most `max` and removes it from the front of `text`.
bool read_number(std::string_view& text, unsigned max, unsigned& value)
{
    const auto* const end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, value);
    if (ec != std::errc{} || value > max)
        return false;
    text.remove_prefix(static_cast<std::size_t>(rest - text.data()));
    return true;
}

bool read_separator(std::string_view& text, char separator)
{
    if (text.empty() || text.front() != separator)
        return false;
    text.remove_prefix(1);
    return true;
}

bool parse(std::string_view text, endpoint& result)
{
    for (int i = 0; i < octets_per_address; ++i) {
        unsigned octet = 0;
        if (i > 0 && !read_separator(text, '.'))
            return false;
        if (!read_number(text, max_octet, octet))
            return false;
        result.address = (result.address << bits_per_octet) | octet;
    }
    unsigned port = 0;
    if (!read_separator(text, ':') || !read_number(text, std::numeric_limits<std::uint16_t>::max(), port))
        return false;
    result.port = static_cast<std::uint16_t>(port);
    return text.empty();
}

} // namespace

endpoint endpoint::create(std::string_view text)
{
    endpoint result;
    if (!parse(text, result))
        throw invalid_input("endpoint", std::string(text), "an IPv4 address and port, such as 127.0.0.1:7000");
    return result;
}

std::string address_to_string(std::uint32_t address)
{
    std::string text;
    for (int i = octets_per_address - 1; i >= 0; --i) {
        const auto shift = bits_per_octet * static_cast<unsigned>(i);
        text += std::to_string((address >> shift) & max_octet);
        if (i > 0)
            text += '.';
    }
    return text;
}

std::string to_string(const endpoint& it)
{
    return address_to_string(it.address) + ":" + std::to_string(it.port);
}

} // namespace ibisdyke::core
