#pragma once

#include "ibisdyke/core/error.h"

#include <google/protobuf/message_lite.h>

#include <cmath>
#include <limits>
#include <string>
#include <string_view>

namespace ibisdyke::core::wire {

/// Decodes a message. Throws malformed_message when the bytes are not a valid encoding of a Message.
template <typename Message>
Message parse(std::string_view bytes)
{
    Message result;
    if (bytes.size() > static_cast<std::size_t>(std::numeric_limits<int>::max())
        || !result.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        throw malformed_message(
            "not an encoded " + result.GetTypeName() + " (" + std::to_string(bytes.size()) + " bytes)");
    return result;
}

/// Converts the number of an enumerator to its enum. Throws malformed_message when the number exceeds that of `last`,
/// the last enumerator.
template <typename Enum>
Enum to_enum(std::uint32_t number, Enum last, const char* name)
{
    if (number > static_cast<std::uint32_t>(last))
        throw malformed_message(std::string(name) + " " + std::to_string(number) + " is unknown");
    return static_cast<Enum>(number);
}

/// Checks a number from a message and returns it. Throws malformed_message for infinity and for NaN. Changes are
/// detected by comparing values, which fails for NaN because it differs from itself.
inline double to_finite(double number, const char* name)
{
    if (!std::isfinite(number))
        throw malformed_message(std::string(name) + " is not a finite number");
    return number;
}

} // namespace ibisdyke::core::wire
